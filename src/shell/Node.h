#pragma once

#include "crocusmount/Reducer.h"
#include "shell/Metrics.h"
#include "shell/Net.h"
#include "shell/Settings.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <string>

namespace crocusmount {

class AnswerChannel;
class BackendClient;
class ClaimStore;
class ClientConnections;
class ConfigurationFollower;
class HttpClient;
class PeerTransport;
class StoreClient;

/// One entry instance: turns input from sockets and timers into events for the reducer, and executes the effects that
/// the reducer returns.
class Node {
public:
    /// Opens the peer transport and starts the loops on the io_context.
    /// @param recordFile  path of the file that records events and effects for replay; empty: nothing is recorded
    /// @return the running node; NotFound if recordFile cannot be written, or the error of the reducer's options or of
    ///         the peer transport
    static absl::StatusOr<std::unique_ptr<Node>> make(net::io_context&, const Settings&, const std::string& recordFile);
    ~Node();

    /// Reduces an event and executes its effects before returning. A call made while an effect is executed only queues
    /// the event, and the outer call reduces it.
    void post(EventBody);

    /// Passes a request to the reducer.
    /// @param channel  receives the tokens and the final result
    /// @return the id of the request, for abandon()
    RequestId submit(RequestSpec, std::shared_ptr<AnswerChannel>);
    /// Cancels a request whose caller has disconnected. Nothing more is sent through its channel.
    void abandon(RequestId);

    const Reducer& reducer() const { return *m_reducer; }
    /// @return the time that an event gets if it is posted now: wall-clock time at the start plus steady-clock time
    ///         since then
    TimePoint now() const;
    const Settings& settings() const { return m_settings; }
    StoreClient& store() { return *m_store; }
    Metrics& metrics() { return m_metrics; }
    /// @return all metrics in the text format of Prometheus
    std::string renderMetrics() const;
    /// @param count  returns the number of open connections of callers, for the metrics
    /// Sets the connections whose metrics are exported.
    /// @param clients  must outlive this
    void setClients(const ClientConnections& clients) { m_clients = &clients; }
    void setConnectionCount(std::function<std::size_t()> count) { m_connectionCount = std::move(count); }
    /// @param onDrained  called when a drain has finished
    void setOnDrained(std::function<void()> onDrained) { m_onDrained = std::move(onDrained); }

private:
    Node(net::io_context&, const Settings&);
    absl::Status start(const std::string& recordFile);
    /// Reduces one event, records it and executes its effects.
    void reduceOne(EventBody);
    /// Writes an event and the effects in m_effects to the record file, if there is one.
    void recordEvent(const Event&);

    void execute(const effect::StartAttempt&);
    void execute(const effect::CancelAttempt&);
    void execute(const effect::DeliverToken&);
    void execute(const effect::CompleteAnswer&);
    void execute(const effect::FailAnswer&);
    void execute(const effect::ReadClaims&);
    void execute(const effect::AppendClaims&);
    void execute(const effect::ProbeBackend&);
    void execute(const effect::SendPeerMessage&);
    void execute(const effect::FetchConfiguration&);
    void execute(const effect::FollowStore&);
    void execute(const effect::DrainFinished&);

    /// Posts a Tick event at a fixed interval.
    Awaitable<void> runTicks();
    /// Fetches the list of instances from its server at a fixed interval.
    Awaitable<void> pollInstanceList();
    /// Logs changes of members, backend servers and configuration since the last call.
    void logChanges();

    net::io_context& m_context;
    Settings m_settings;
    std::unique_ptr<Reducer> m_reducer;
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<BackendClient> m_backendClient;
    std::unique_ptr<PeerTransport> m_peerTransport;
    std::unique_ptr<ClaimStore> m_claimStore;
    std::unique_ptr<ConfigurationFollower> m_follower;
    std::unique_ptr<HttpClient> m_instanceListClient;
    Metrics m_metrics;
    /// A request whose final result has not been sent.
    struct OpenRequest {
        std::shared_ptr<AnswerChannel> channel;
        std::chrono::steady_clock::time_point arrivedAt;
        std::chrono::steady_clock::time_point lastTokenAt; ///< arrival of the request until the first token
        bool isFirstTokenPending = true;
    };
    absl::flat_hash_map<RequestId, OpenRequest> m_openRequests;
    std::deque<EventBody> m_eventQueue; ///< posted and not yet reduced
    Effects m_effects; ///< of the event that is being reduced
    bool m_isReducing = false; ///< post() is running further up the call stack
    std::uint64_t m_nextRequestId = 1;
    std::uint64_t m_eventCount = 0; ///< reduced events
    pcg64 m_random; ///< gives each event its random number
    std::chrono::system_clock::time_point m_wallClockStart;
    std::chrono::steady_clock::time_point m_steadyClockStart;
    std::ofstream m_recordStream; ///< closed if nothing is recorded
    std::function<std::size_t()> m_connectionCount;
    const ClientConnections* m_clients = nullptr; ///< null: their metrics are not exported
    std::function<void()> m_onDrained;
    // State that logChanges() has logged last.
    std::map<InstanceId, MemberState> m_loggedMembers;
    std::map<BackendId, bool> m_loggedBackends; ///< whether each is reachable
    Revision m_loggedRevision;
};

} // namespace crocusmount
