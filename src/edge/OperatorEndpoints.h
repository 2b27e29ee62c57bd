#pragma once

#include "shell/HttpServer.h"

namespace crocusmount {

class QuarantineStore;

/// HTTP endpoints for operators, on the address of the instance's metrics. They list the quarantined traits of
/// requests and lift a quarantine.
///
///     GET /quarantine        {"quarantined":[{"id","kind","value","workspace","since_ms","servers"}]}
///     DELETE /quarantine/ID  200; 404 if ID is not listed, 503 if the store did not confirm the deletion
class OperatorEndpoints final : public HttpHandler {
public:
    /// @param quarantine  must outlive this
    /// @param fallback    answers all other paths; must outlive this
    OperatorEndpoints(QuarantineStore& quarantine, HttpHandler& fallback);

private:
    Awaitable<void> onExchange(HttpExchange&) override;
    HttpReply listQuarantined() const;
    Awaitable<HttpReply> liftQuarantine(std::string id);

    QuarantineStore& m_quarantine;
    HttpHandler& m_fallback;
};

} // namespace crocusmount
