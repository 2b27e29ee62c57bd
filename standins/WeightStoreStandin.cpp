#include "standins/WeightStoreStandin.h"

#include <absl/strings/numbers.h>
#include <algorithm>

namespace crocusmount {

WeightStoreStandin::WeightStoreStandin(net::io_context& context, double layersPerSecond)
    : m_context(context)
    , m_layersPerSecond(layersPerSecond)
{
}

Awaitable<void> WeightStoreStandin::onExchange(HttpExchange& exchange)
{
    double layers = 0;
    HttpReply reply;
    if (!absl::SimpleAtod(exchange.query("layers"), &layers) || layers <= 0) {
        reply.status = 400;
        reply.body = R"({"detail":"layers: expected a positive number"})";
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const std::chrono::duration<double> transferTime(layers / m_layersPerSecond);
    m_downloadsEndAt = std::max(m_downloadsEndAt, std::chrono::steady_clock::now())
        + std::chrono::duration_cast<std::chrono::steady_clock::duration>(transferTime);
    Timer timer(m_context.get_executor());
    timer.expires_at(m_downloadsEndAt);
    co_await timer.async_wait(net::as_tuple(useAwaitable));
    reply.body = "{}";
    co_await exchange.respond(std::move(reply));
}

} // namespace crocusmount
