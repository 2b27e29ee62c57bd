#include "standins/InstanceListStandin.h"

namespace crocusmount {

InstanceListStandin::InstanceListStandin(std::chrono::milliseconds lag)
    : m_lag(lag)
{
}

Awaitable<void> InstanceListStandin::onExchange(HttpExchange& exchange)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_changedAt >= m_lag)
        m_visibleList = m_latestList;
    HttpReply reply;
    if (exchange.path() == "/v1/instances" && exchange.request().method() == http::verb::put) {
        m_latestList = exchange.request().body();
        m_changedAt = now;
        reply.body = "{}";
    } else if (exchange.path() == "/v1/instances") {
        reply.body = m_visibleList;
    } else {
        reply.status = 404;
    }
    co_await exchange.respond(std::move(reply));
}

} // namespace crocusmount
