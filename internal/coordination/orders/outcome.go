package orders

// Kind tells what is known about an order.
type Kind uint8

// Kinds of an outcome. The zero value claims nothing.
const (
	// Unknown means that the order may have run or may still be running.
	Unknown Kind = iota
	// NotRun means that the order did not run and never will.
	NotRun
	// Done means that the order ran once and its answer is in the outcome.
	Done
	// WrongBody means that the ticket was used with another body.
	WrongBody
	// NotOwner means that the instance asked is neither the owner, nor the witness, nor
	// the successor of the owner.
	NotOwner
	// Issued means that the order has not begun and may still run.
	Issued
	// Running means that the order has begun and has no outcome yet.
	Running
)

// String returns the name of k in logs and in the order state that callers read.
func (k Kind) String() string {
	names := [...]string{"unknown", "not_run", "done", "wrong_body", "not_owner", "issued", "running"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Answer is the whole answer of the upstream to an order. Its body must not be changed
// after it is handed over.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

func (a Answer) cost() int64 { return int64(len(a.Body) + len(a.ContentType)) }

// Outcome is what an instance knows about an order. Answer is set when Kind is Done.
type Outcome struct {
	Kind   Kind
	Answer Answer
}

// Action is the next step of the owner for an order.
type Action uint8

// Actions that Begin decides.
const (
	// ActionReport answers the caller with the outcome of the decision.
	ActionReport Action = iota
	// ActionRecordIntent records the intent at the witness first.
	ActionRecordIntent
	// ActionSend sends the order now: its ticket names no witness.
	ActionSend
	// ActionAttach waits for the outcome of the attempt that is under way.
	ActionAttach
	// ActionForward forwards the order to its owner.
	ActionForward
)

// Decision is the result of Begin. Outcome is set when Action is ActionReport: the stored
// answer (Done), NotRun, Unknown or WrongBody.
type Decision struct {
	Action  Action
	Outcome Outcome
}

func report(k Kind) Decision { return Decision{Outcome: Outcome{Kind: k}} }

// finished is the stored outcome of one order.
type finished struct {
	body    BodyHash
	outcome Outcome
}

// outcomeFor returns the outcome for a request with the given body. A zero body asks for
// the state only and matches every order.
func (f finished) outcomeFor(body BodyHash) Outcome {
	if mismatch(f.body, body) {
		return Outcome{Kind: WrongBody}
	}
	return f.outcome
}

func mismatch(stored, asked BodyHash) bool {
	return stored != asked && stored != BodyHash{} && asked != BodyHash{}
}
