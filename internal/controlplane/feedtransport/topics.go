package feedtransport

// TopicDemand is the topic of a proxy's reports of the demand of services; the body is a report of package staging.
const TopicDemand = "demand"
