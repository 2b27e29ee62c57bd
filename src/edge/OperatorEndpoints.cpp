#include "edge/OperatorEndpoints.h"

#include "edge/DecisionLog.h"
#include "edge/QuarantineStore.h"

#include <boost/json.hpp>

namespace crocusmount {

namespace {

    constexpr std::string_view QuarantinePath = "/quarantine";

} // namespace

OperatorEndpoints::OperatorEndpoints(QuarantineStore& quarantine, HttpHandler& fallback)
    : m_quarantine(quarantine)
    , m_fallback(fallback)
{
}

Awaitable<void> OperatorEndpoints::onExchange(HttpExchange& exchange)
{
    const std::string path = exchange.path();
    const http::verb verb = exchange.request().method();
    if (path == QuarantinePath && verb == http::verb::get) {
        // A named variable is needed, because g++ 12 destroys temporaries of a co_await expression twice.
        HttpReply reply = listQuarantined();
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const std::string entryPrefix = std::string(QuarantinePath) + "/";
    if (path.substr(0, entryPrefix.size()) == entryPrefix && verb == http::verb::delete_) {
        std::string id = path.substr(entryPrefix.size());
        HttpReply reply = co_await liftQuarantine(std::move(id));
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    co_await m_fallback.handle(exchange);
}

HttpReply OperatorEndpoints::listQuarantined() const
{
    boost::json::array entries;
    for (const auto& [id, entry] : m_quarantine.entries()) {
        entries.push_back(boost::json::object { { "id", id }, { "kind", relay::kindOf(entry.trait) },
            { "value", entry.trait.toHex() }, { "workspace", entry.trait.scope() }, { "since_ms", entry.sinceMs },
            { "servers", entry.servers } });
    }
    HttpReply reply;
    reply.body = boost::json::serialize(boost::json::object { { "quarantined", std::move(entries) } });
    return reply;
}

Awaitable<HttpReply> OperatorEndpoints::liftQuarantine(std::string id)
{
    std::string idToLift = id;
    const absl::Status status = co_await m_quarantine.lift(std::move(idToLift));
    relay::DecisionLog::state("quarantine_lift", { { "id", id }, { "outcome", status.ToString() } });
    HttpReply reply;
    if (absl::IsNotFound(status))
        reply.status = 404;
    else if (!status.ok())
        reply.status = 503;
    reply.body = boost::json::serialize(boost::json::object { { "outcome", std::string(status.message()) } });
    co_return reply;
}

} // namespace crocusmount
