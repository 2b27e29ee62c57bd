#pragma once

#include "shell/HttpServer.h"

namespace crocusmount {

class QuarantineStore;

/// What operators ask an instance, on the address of its metrics: which requests are quarantined, and to lift one.
///
///     GET /quarantine        {"quarantined":[{"id","workspace","since_ms","servers"}]}
///     DELETE /quarantine/ID  200; 404 where it is not listed, 503 where the store did not confirm it
class OperatorEndpoints final : public HttpHandler {
public:
    /// @param others  answers all other paths; must outlive this, as the store must
    OperatorEndpoints(QuarantineStore&, HttpHandler& others);

private:
    Awaitable<void> onExchange(HttpExchange&) override;
    HttpReply list() const;
    Awaitable<HttpReply> lift(std::string id);

    QuarantineStore& m_quarantine;
    HttpHandler& m_others;
};

} // namespace crocusmount
