#include "shell/ClientConnections.h"

#include "shell/MetricFamilies.h"

namespace crocusmount {

namespace {

    constexpr std::chrono::seconds LogInterval { 1 };

} // namespace

// ---- ClientConnections ---------------------------------------------------------------------------------------------

ClientConnections::ClientConnections(ClientLimits limits, Log log)
    : m_account(limits)
    , m_log(std::move(log))
{
}

ClientConnections::~ClientConnections() = default;

TimePoint ClientConnections::now()
{
    return TimePoint(std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch()));
}

ClientConnections::Opened ClientConnections::open()
{
    const ClientAccount::Opened decision = m_account.open(now());
    end(decision.ended, ClientRefusal::ClosedForOther);
    Opened opened { decision.entry, nullptr };
    if (decision.entry == ClientAccount::Entry::Dropped)
        record(ClientRefusal::ConnectionDropped);
    else
        opened.connection = std::make_unique<ClientConnection>(*this, decision.id);
    return opened;
}

void ClientConnections::record(ClientRefusal refusal)
{
    Count& count = m_counts.at(static_cast<std::size_t>(refusal));
    ++count.total;
    const auto now = Clock::now();
    if (!m_log || (count.total > 1 && now - count.loggedAt < LogInterval))
        return;
    count.loggedAt = now;
    m_log(refusal, count.total);
}

void ClientConnections::end(const std::vector<ConnectionId>& ids, ClientRefusal cause)
{
    for (const ConnectionId id : ids) {
        record(cause);
        if (const auto found = m_open.find(id.value()); found != m_open.end())
            found->second->endBecauseOf(cause);
    }
}

void ClientConnections::addMetrics(MetricFamilies& families) const
{
    families.addGauge(
        "crocusmount_client_connections", "Connections of clients on all listeners", double(m_account.connections()));
    families.addGauge("crocusmount_client_connections_limit", "Connections of clients above which others are closed",
        double(limits().connections));
    families.addGauge("crocusmount_client_bytes", "Memory of requests and of answers that are not taken",
        double(m_account.heldBytes()));
    families.addGauge("crocusmount_client_bytes_limit", "Memory that requests and untaken answers may hold",
        double(limits().memoryBytes));
    for (std::size_t refusal = 0; refusal < ClientRefusalCount; ++refusal) {
        families.addCounter("crocusmount_client_refusals_total", "Connections and requests refused before they ran",
            double(m_counts.at(refusal).total),
            { { "reason", std::string(toString(static_cast<ClientRefusal>(refusal))) } });
    }
}

// ---- ClientConnection ----------------------------------------------------------------------------------------------

ClientConnection::ClientConnection(ClientConnections& connections, ConnectionId id)
    : m_connections(connections)
    , m_id(id)
{
    m_connections.m_open[m_id.value()] = this;
}

ClientConnection::~ClientConnection()
{
    m_connections.m_open.erase(m_id.value());
    m_connections.m_account.close(m_id);
}

void ClientConnection::waitForRequest() { m_connections.m_account.waitForRequest(m_id, ClientConnections::now()); }

void ClientConnection::beginClose() { m_connections.m_account.beginClose(m_id, ClientConnections::now()); }

bool ClientConnection::receive(std::uint64_t bytes)
{
    return apply(m_connections.m_account.receive(m_id, bytes, ClientConnections::now()), ClientRefusal::MemoryFull);
}

bool ClientConnection::run(std::uint64_t bytes)
{
    return apply(m_connections.m_account.run(m_id, bytes, ClientConnections::now()), ClientRefusal::MemoryFull);
}

bool ClientConnection::keepAnswer(std::uint64_t bytes)
{
    return apply(
        m_connections.m_account.keepAnswer(m_id, bytes, ClientConnections::now()), ClientRefusal::AnswerNotTaken);
}

bool ClientConnection::apply(const ClientAccount::Granted& granted, ClientRefusal cause)
{
    m_connections.end(granted.ended, ClientRefusal::MemoryFull);
    if (!granted.isGranted && !m_isEnded) {
        record(cause);
        m_isEnded = true;
        m_cause = cause;
    }
    return !m_isEnded;
}

void ClientConnection::endBecauseOf(ClientRefusal cause)
{
    m_isEnded = true;
    m_cause = cause;
    if (m_wake)
        m_wake();
}

} // namespace crocusmount
