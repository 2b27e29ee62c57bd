#include "standins/ServiceStandin.h"

#include <boost/json.hpp>

namespace crocusmount {

ServiceStandin::ServiceStandin(net::io_context& context, std::chrono::milliseconds delay)
    : m_context(context)
    , m_delay(delay)
{
}

Awaitable<void> ServiceStandin::onExchange(HttpExchange& exchange)
{
    const std::string path = exchange.path();
    HttpReply reply;
    reply.body = "{}";
    if (path == "/fault") {
        const auto body = boost::json::parse(exchange.request().body());
        m_loseReplies = static_cast<std::uint64_t>(body.at("loseReplies").as_int64());
    } else if (path == "/v1/ledger") {
        boost::json::object prompts;
        for (const auto& [body, count] : m_callsByBody)
            prompts[body] = count;
        boost::json::object out;
        out["prompts"] = std::move(prompts);
        reply.body = boost::json::serialize(out);
    } else if (path != "/healthz") {
        Timer timer(m_context.get_executor());
        timer.expires_after(m_delay);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        ++m_callsByBody[exchange.request().body()];
        if (m_loseReplies) {
            --m_loseReplies;
            co_return;
        }
        reply.body = boost::json::serialize(boost::json::object { { "path", path },
            { "method", std::string(exchange.request().method_string()) }, { "echo", exchange.request().body() } });
    }
    co_await exchange.respond(std::move(reply));
}

} // namespace crocusmount
