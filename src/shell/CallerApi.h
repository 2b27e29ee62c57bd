#pragma once

#include "crocusmount/RequestSpec.h"
#include "shell/HttpServer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <memory>
#include <string>

namespace crocusmount {

class AnswerChannel;
class Node;

/// Serves the HTTP interface of callers: completions, chat completions, plain services and the list of entry instances.
class CallerApi final : public HttpHandler {
public:
    CallerApi(net::io_context&, Node&);

private:
    /// A parsed request for a completion.
    struct CompletionRequest {
        RequestSpec spec;
        bool stream = false; ///< the answer is a stream of server-sent events
        bool chat = false; ///< came as chat completion, with messages instead of a prompt
    };

    Awaitable<void> onExchange(HttpExchange&) override;
    Awaitable<void> handleCompletion(HttpExchange&, const WorkspaceId&, bool chat);
    Awaitable<void> handleServiceCall(HttpExchange&, const WorkspaceId&);
    Awaitable<void> handleEntryList(HttpExchange&, const WorkspaceId&);
    /// Collects all tokens and answers with one JSON body.
    Awaitable<void> respondWhole(HttpExchange&, CompletionRequest, std::shared_ptr<AnswerChannel>);
    /// Sends the tokens as server-sent events as they arrive.
    Awaitable<void> respondStream(HttpExchange&, CompletionRequest, std::shared_ptr<AnswerChannel>, RequestId);
    /// Parses the body and the headers.
    /// @return the request, or InvalidArgument that names the field or header
    absl::StatusOr<CompletionRequest> readCompletion(const HttpExchange&, bool chat) const;
    /// Copies deadline, priority, idempotency key and repeatability from the headers to the spec.
    /// @param repeatableByDefault  value if the header X-Crocusmount-Idempotent is missing
    /// @return InvalidArgument that names the header
    absl::Status readHeaders(const HttpExchange&, RequestSpec&, bool repeatableByDefault) const;
    /// @return the workspace of the bearer token; none if the token is missing or unknown
    std::optional<WorkspaceId> authenticate(const HttpExchange&);
    /// Submits a request and cancels it if the caller disconnects.
    RequestId submit(HttpExchange&, const RequestSpec&, const std::shared_ptr<AnswerChannel>&);

    net::io_context& m_context;
    Node& m_node;
    Revision m_tokenMapRevision; ///< of the configuration that filled m_workspaceByTokenHash
    absl::flat_hash_map<std::string, WorkspaceId> m_workspaceByTokenHash; ///< key: SHA-256 of the token in hexadecimal
};

} // namespace crocusmount
