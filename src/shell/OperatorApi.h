#pragma once

#include "crocusmount/ConfigurationChange.h"
#include "shell/ConfigurationWriter.h"
#include "shell/HttpServer.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace crocusmount {

class Node;

/// Serves the HTTP interface of operators under /admin/v1/: configuration, status and drain.
class OperatorApi final : public HttpHandler {
public:
    explicit OperatorApi(Node&);

private:
    Awaitable<void> onExchange(HttpExchange&) override;
    /// Writes a change of the configuration to the store, or only checks it if "dryRun" is set.
    Awaitable<void> apply(HttpExchange&);
    /// Finds out whether an earlier apply() with an unknown result was written.
    Awaitable<void> settle(HttpExchange&);
    /// @return all configuration objects
    HttpReply configuration() const;
    /// @return the state of this instance, and the members and backend servers that it knows
    HttpReply status() const;
    /// @return whether the request has the bearer token of an operator
    bool isAuthenticated(const HttpExchange&) const;
    /// @return a warning for each label that a pipeline selects and no backend server would have after the change
    std::vector<std::string> warningsFor(const std::vector<ConfigurationEntry>&) const;

    Node& m_node;
    ConfigurationWriter m_writer;
    std::uint64_t m_nextNonce = 1; ///< makes the nonce of each change unique in this process
};

} // namespace crocusmount
