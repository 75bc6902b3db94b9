package orders

// OutcomeKind tells what is known about an order.
type OutcomeKind uint8

// Kinds of an outcome. The zero value makes no claim about the order.
const (
	// Unknown means that the order may have run or may still be running.
	Unknown OutcomeKind = iota
	// NotRun means that the order did not run and never will.
	NotRun
	// Done means that the order ran once and the outcome holds its response.
	Done
	// WrongBody means that the ticket was already used with a different body.
	WrongBody
	// NotOwner means that the queried instance is neither the owner, nor the witness, nor
	// the successor of the owner.
	NotOwner
	// Issued means that the order has not begun and may still run.
	Issued
	// Running means that the order has begun and has no outcome yet.
	Running
)

// String returns the name of k in logs and in the order state that callers read.
func (k OutcomeKind) String() string {
	names := [...]string{"unknown", "not_run", "done", "wrong_body", "not_owner", "issued", "running"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Response is the complete response of the upstream to an order. Its body must not be
// modified after the response is passed to this package.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

func (r Response) size() int64 { return int64(len(r.Body) + len(r.ContentType)) }

// Outcome is what an instance knows about an order. Response is set when Kind is Done. Its
// field name in messages between instances is Answer.
type Outcome struct {
	Kind     OutcomeKind
	Response Response `msgpack:"Answer"`
}

// Action is the next step that the owner takes for an order.
type Action uint8

// Actions that Begin returns.
const (
	// ActionReport returns the outcome in the decision to the caller.
	ActionReport Action = iota
	// ActionRecordIntent records the intent at the witness before the order is sent.
	ActionRecordIntent
	// ActionSend sends the order without an intent, because its ticket names no witness.
	ActionSend
	// ActionAttach waits for the outcome of the same order, which is already in progress.
	ActionAttach
	// ActionForward forwards the order to its owner.
	ActionForward
)

// Decision is the result of Begin. Outcome is set when Action is ActionReport: Done with the
// stored response, NotRun, Unknown or WrongBody.
type Decision struct {
	Action  Action
	Outcome Outcome
}

func reportDecision(k OutcomeKind) Decision { return Decision{Outcome: Outcome{Kind: k}} }

// storedOutcome is the outcome of a finished order and the hash of its body.
type storedOutcome struct {
	bodyHash BodyHash
	outcome  Outcome
}

// outcomeFor returns the outcome for a request with the given body hash. A zero hash stands
// for a status query and matches every order.
func (o storedOutcome) outcomeFor(bodyHash BodyHash) Outcome {
	if bodyMismatch(o.bodyHash, bodyHash) {
		return Outcome{Kind: WrongBody}
	}
	return o.outcome
}

func bodyMismatch(stored, requested BodyHash) bool {
	return stored != requested && stored != BodyHash{} && requested != BodyHash{}
}
