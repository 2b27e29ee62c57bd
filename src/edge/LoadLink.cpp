#include "edge/LoadLink.h"

#include "edge/DecisionLog.h"
#include "edge/InstanceRegistry.h"
#include "edge/LoadReportCodec.h"
#include "edge/RelayNode.h"
#include "shell/Endpoint.h"

namespace crocusmount {

namespace {

    /// Between two rounds; a sum is two rounds old when it reaches its readers. Streams last seconds.
    constexpr std::chrono::milliseconds RoundInterval { 150 };
    constexpr std::size_t LargestDatagram = 65000;

    relay::LoadPeer peerOf(const InstanceRegistry::Entry& entry)
    {
        return { InstanceId(entry.id), DataCentreId(entry.dataCentre), entry.peerAddress };
    }

} // namespace

LoadLink::LoadLink(net::io_context& context, relay::RelayNode& node, const InstanceRegistry& registry)
    : m_context(context)
    , m_node(node)
    , m_registry(registry)
    , m_exchange(peerOf(registry.self()))
    , m_socket(context)
{
}

absl::StatusOr<std::unique_ptr<LoadLink>> LoadLink::make(
    net::io_context& context, relay::RelayNode& node, const InstanceRegistry& registry)
{
    const auto endpoint = parseEndpoint<Udp>(registry.self().peerAddress);
    if (!endpoint.ok())
        return endpoint.status();
    std::unique_ptr<LoadLink> link(new LoadLink(context, node, registry));
    boost::system::error_code error;
    link->m_socket.open(endpoint->protocol(), error);
    if (!error)
        link->m_socket.bind(*endpoint, error);
    if (error)
        return absl::UnavailableError("cannot bind " + registry.self().peerAddress + ": " + error.message());
    link->m_socket.non_blocking(true);
    net::co_spawn(context.get_executor(), link->receiveLoop(), net::detached);
    net::co_spawn(context.get_executor(), link->roundLoop(), net::detached);
    return link;
}

Awaitable<void> LoadLink::receiveLoop()
{
    std::string buffer(LargestDatagram, '\0');
    Udp::endpoint from;
    for (;;) {
        const auto [error, count]
            = co_await m_socket.async_receive_from(net::buffer(buffer), from, net::as_tuple(useAwaitable));
        if (error == net::error::operation_aborted)
            co_return;
        if (error)
            continue; // A peer that is not there shows as a refused datagram.
        ++m_traffic.received;
        const auto report = decodeLoadReport(buffer.substr(0, count));
        if (report.ok())
            m_exchange.take(*report, m_node.now());
        else
            ++m_traffic.malformed;
    }
}

Awaitable<void> LoadLink::roundLoop()
{
    Timer timer(m_context.get_executor());
    for (;;) {
        timer.expires_after(RoundInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        makeRound();
    }
}

void LoadLink::makeRound()
{
    std::vector<relay::LoadPeer> others;
    for (const InstanceRegistry::Entry& entry : m_registry.others()) {
        if (!entry.peerAddress.empty())
            others.push_back(peerOf(entry));
    }
    m_exchange.setPeers(std::move(others));
    for (const relay::OutgoingLoadReport& each :
        m_exchange.makeRound(m_node.reducer().fleet().ownLoads(), m_node.now()))
        send(each);
    auto loads = m_exchange.others(m_node.now());
    if (loads.has_value() != std::exchange(m_knowsOthers, loads.has_value()))
        relay::DecisionLog::state(
            "loads", { { "known", loads.has_value() }, { "collector", m_exchange.isCollector() } });
    m_node.post(relay::event::LoadsReported { std::move(loads) });
}

void LoadLink::send(const relay::OutgoingLoadReport& outgoing)
{
    const auto endpoint = parseEndpoint<Udp>(outgoing.address);
    if (!endpoint.ok())
        return;
    const std::string bytes = encode(outgoing.report);
    boost::system::error_code error;
    m_socket.send_to(net::buffer(bytes), *endpoint, 0, error);
    if (error)
        ++m_traffic.sendErrors;
    else
        m_traffic.sentBytes += bytes.size();
}

} // namespace crocusmount
