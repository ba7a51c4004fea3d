package entries

import (
	"encoding/json"
	"net/http"

	"gypsumshelf.example/gypsumshelf"
)

// errorBody is the JSON body of an error response to a caller.
type errorBody struct {
	Code      gypsumshelf.Code      `json:"code"`
	Text      string                `json:"text"`
	RequestID gypsumshelf.RequestID `json:"request-id"`
	Verdict   gypsumshelf.Verdict   `json:"verdict"`
}

func newErrorBody(id gypsumshelf.RequestID, err *gypsumshelf.Error) errorBody {
	return errorBody{Code: err.Code, Text: err.Text, RequestID: id, Verdict: err.Verdict}
}

var statusOf = map[gypsumshelf.Code]int{
	gypsumshelf.CodeBadRequest:         http.StatusBadRequest,
	gypsumshelf.CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	gypsumshelf.CodeUnknownModel:       http.StatusNotFound,
	gypsumshelf.CodeUnknownClass:       http.StatusNotFound,
	gypsumshelf.CodeUnknownWorkspace:   http.StatusNotFound,
	gypsumshelf.CodeUnknownService:     http.StatusNotFound,
	gypsumshelf.CodePromptTooLong:      http.StatusRequestEntityTooLarge,
	gypsumshelf.CodeOverloaded:         http.StatusTooManyRequests,
	gypsumshelf.CodeBodyBudgetExceeded: http.StatusTooManyRequests,
	gypsumshelf.CodeDeadline:           http.StatusGatewayTimeout,
	gypsumshelf.CodeBackendFailed:      http.StatusBadGateway,
	gypsumshelf.CodeBrokenStream:       http.StatusBadGateway,
	gypsumshelf.CodeInterrupted:        http.StatusBadGateway,
	gypsumshelf.CodeDuplicateKey:       http.StatusConflict,
	gypsumshelf.CodeKeyExpired:         http.StatusConflict,
	gypsumshelf.CodeQuarantined:        http.StatusForbidden,
	gypsumshelf.CodeInternal:           http.StatusInternalServerError,
}

func writeError(w http.ResponseWriter, id gypsumshelf.RequestID, err *gypsumshelf.Error) {
	status, ok := statusOf[err.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set(HeaderVerdict, err.Verdict.String())
	w.Header().Set(HeaderRequestID, string(id))
	writeJSON(w, status, newErrorBody(id, err))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
