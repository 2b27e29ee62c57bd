#pragma once

#include "admission/ClientAccount.h"
#include "shell/ClientRefusal.h"

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <unordered_map>

namespace crocusmount {

class ClientConnection;
class MetricFamilies;

/// The connections of clients on all listeners of a process, within its ClientLimits. Carries out what ClientAccount
/// decides, and counts and logs refusals. Single-threaded; must outlive the connections.
class ClientConnections {
public:
    /// Writes a line of the log.
    /// @param count  refusals for this reason since the start of the process
    using Log = std::function<void(ClientRefusal, std::uint64_t count)>;

    explicit ClientConnections(ClientLimits limits, Log log = {});
    ~ClientConnections();
    ClientConnections(const ClientConnections&) = delete;
    ClientConnections& operator=(const ClientConnections&) = delete;

    /// What is to be done with a new connection.
    struct Opened {
        ClientAccount::Entry entry = ClientAccount::Entry::Accepted;
        std::unique_ptr<ClientConnection> connection; ///< null if it is to be dropped
    };
    /// Registers a new connection, perhaps in place of another one.
    Opened open();
    /// Counts a refusal. At most one line a second and reason is logged.
    void record(ClientRefusal);

    const ClientAccount& account() const { return m_account; }
    const ClientLimits& limits() const { return m_account.limits(); }
    /// @return refusals since the start of the process
    std::uint64_t refusals(ClientRefusal refusal) const { return m_counts.at(static_cast<std::size_t>(refusal)).total; }
    /// Adds the metrics of connections, memory and refusals.
    void addMetrics(MetricFamilies&) const;

private:
    friend class ClientConnection;
    using Clock = std::chrono::steady_clock;
    struct Count {
        std::uint64_t total = 0;
        Clock::time_point loggedAt; ///< of the latest line
    };

    static TimePoint now();
    /// Tells connections that the account has ended them.
    void end(const std::vector<ConnectionId>&, ClientRefusal);

    ClientAccount m_account;
    Log m_log;
    std::array<Count, ClientRefusalCount> m_counts {};
    std::unordered_map<std::uint64_t, ClientConnection*> m_open; ///< by id
};

/// One client's connection in ClientConnections, from its accept to its close.
class ClientConnection {
public:
    ClientConnection(ClientConnections&, ConnectionId);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /// Sets what wakes up the connection's coroutine when the connection is ended, such as the end of its reads and
    /// writes. Must not destroy the connection.
    void setOnEnded(std::function<void()> wake) { m_wake = std::move(wake); }
    /// @return whether the connection is to be closed. A request that has not run may be refused before.
    bool isEnded() const { return m_isEnded; }
    /// @return why the connection was ended
    ClientRefusal cause() const { return m_cause; }

    /// See ClientAccount. Each function returns whether the connection may go on.
    void waitForRequest();
    bool receive(std::uint64_t bytes);
    bool run(std::uint64_t bytes);
    bool keepAnswer(std::uint64_t bytes);
    void beginClose();
    /// @return whether a body of this length can be received now
    bool hasRoomFor(std::uint64_t bodyBytes) const { return m_connections.m_account.hasRoomFor(bodyBytes); }
    const ClientLimits& limits() const { return m_connections.limits(); }
    void record(ClientRefusal refusal) { m_connections.record(refusal); }

private:
    friend class ClientConnections;
    bool apply(const ClientAccount::Granted&, ClientRefusal);
    void endBecauseOf(ClientRefusal);

    ClientConnections& m_connections;
    ConnectionId m_id;
    std::function<void()> m_wake;
    bool m_isEnded = false;
    ClientRefusal m_cause = ClientRefusal::MemoryFull;
};

} // namespace crocusmount
