#pragma once

#include "config/ConfigurationStore.h"
#include "crocusmount/Counters.h"
#include "crocusmount/Effect.h"
#include "crocusmount/Event.h"
#include "crocusmount/ReducerOptions.h"
#include "membership/Membership.h"
#include "membership/WatchPlan.h"
#include "requests/RequestTable.h"
#include "routing/BackendTable.h"

#include <memory>

namespace crocusmount {

/// The state of a Reducer. Passes each event to the component that handles it.
class ReducerState {
public:
    /// Creates the state. The options must be valid, see Reducer::make(), and the picker must not be null.
    ReducerState(const ReducerOptions&, std::unique_ptr<ChainPicker>);

    /// Processes one event, see Reducer::reduce().
    void reduce(const Event&, Effects&);

    const Counters& counters() const { return m_counters; }
    const Configuration& configuration() const { return m_configuration.parsed(); }
    ConfigurationChange configurationSince(Revision revision) const { return m_configuration.since(revision); }
    const Membership& membership() const { return m_membership; }
    const BackendTable& backends() const { return m_backends; }
    const RequestTable& requests() const { return m_requests; }
    bool isDraining() const { return m_drainStartedAt.has_value(); }
    /// @return the alive instances that have a configuration, best first: those in this data centre, then the others. A
    ///         hash of workspace and instance orders each group, which distributes the workspaces over the instances.
    std::vector<MemberUpdate> entriesFor(const WorkspaceId&) const;

private:
    /// Each overload handles one type of event.
    void on(const event::RequestArrived&, const Event&, Effects&);
    void on(const event::CallerLeft&, const Event&, Effects&);
    void on(const event::TokenReceived&, const Event&, Effects&);
    void on(const event::AttemptEnded&, const Event&, Effects&);
    void on(const event::AttemptFailed&, const Event&, Effects&);
    void on(const event::ClaimsRead&, const Event&, Effects&);
    void on(const event::ClaimsAppended&, const Event&, Effects&);
    void on(const event::ConfigurationRead&, const Event&, Effects&);
    void on(const event::StoreSeen&, const Event&, Effects&);
    void on(const event::BackendReported&, const Event&, Effects&);
    void on(const event::BackendUnreachable&, const Event&, Effects&);
    void on(const event::PeerMessageReceived&, const Event&, Effects&);
    void on(const event::InstancesListed&, const Event&, Effects&);
    void on(const event::DrainRequested&, const Event&, Effects&);
    void on(const event::Tick&, const Event&, Effects&);

    /// Tells all instances the state of a backend server that this instance watches.
    void broadcastChange(const BackendId&, TimePoint now, Effects&);
    /// Discards old reports if this process was paused before the event at this time.
    void detectPause(TimePoint now);
    /// Recomputes the watch plan if members, backend servers or the configuration have changed.
    void updateWatchPlan(TimePoint now);
    /// Probes watched servers and those with stale reports, once per probe interval.
    void probeBackends(TimePoint now, Effects&);
    /// Sends the reports of watched servers to the instances that use these servers, once per share interval.
    void sendLoadReports(TimePoint now, Effects&);
    /// Fetches the configuration from a peer that has a newer revision.
    void fetchNewerConfiguration(const MemberUpdate& peer, TimePoint now, Effects&);
    /// Starts or stops watching the store when the members that do so have changed.
    void updateStoreFollowing(Effects&);
    /// Reports the end of the drain once the entry list has expired and all requests have ended.
    void finishDrain(TimePoint now, Effects&);
    /// @return whether neither the store nor a peer has been heard for longer than the isolation limit
    bool isIsolated(TimePoint now) const;

    ReducerOptions m_options;
    Counters m_counters;
    ConfigurationStore m_configuration;
    BackendTable m_backends;
    Membership m_membership;
    WatchPlan m_watchPlan;
    std::uint64_t m_watchPlanInputsVersion = 0; ///< version of the members and backend servers used for the plan
    RequestTable m_requests;
    std::optional<TimePoint> m_drainStartedAt; ///< nullopt if no drain was requested
    std::optional<TimePoint> m_lastEventAt;
    TimePoint m_trustPeerReportsFrom; ///< reports from peers are ignored before this time
    bool m_isDrainReported = false; ///< whether effect::DrainFinished was emitted
    bool m_isFollowingStore = false;
    TimePoint m_storeLastSeenAt; ///< last answer of the store, or the first event
    TimePoint m_nextProbeAt;
    TimePoint m_nextLoadReportAt;
    TimePoint m_nextFetchAt;
};

} // namespace crocusmount
