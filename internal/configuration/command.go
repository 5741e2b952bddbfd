package configuration

// Kind tells what the body of a command is.
type Kind uint8

const (
	Replace Kind = 1 // a whole configuration
	Update  Kind = 2 // items to add, to replace and to remove
)

// Command is one change as the operator sent it.
type Command struct {
	Kind Kind
	Base uint64 // the generation that it builds on; 0 for the first
	Body []byte // JSON, byte for byte
}

// EncodeCommand returns the form that is replicated.
func EncodeCommand(command Command) []byte { panic("not built yet") }

// DecodeCommand reads what EncodeCommand wrote. The body is a copy.
func DecodeCommand(encoded []byte) (Command, error) { panic("not built yet") }
