#include "core/ReducerState.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <xxhash.h>

namespace crocusmount {

namespace {

    /// A longer gap between two events means that this process was paused.
    constexpr Duration MaxEventGap = std::chrono::milliseconds(500);
    /// After a pause, peer reports are ignored for this time, in which the data buffered in the sockets is read.
    constexpr Duration StaleReportWindow = std::chrono::seconds(1);
    /// Shortest time between two fetches of the configuration from peers.
    constexpr Duration MinFetchInterval = std::chrono::milliseconds(100);

} // namespace

ReducerState::ReducerState(const ReducerOptions& options, std::unique_ptr<ChainPicker> picker)
    : m_options(options)
    , m_backends(m_options)
    , m_membership(m_options)
    , m_requests(m_options, m_configuration.parsed(), m_backends, m_counters, std::move(picker))
{
}

void ReducerState::reduce(const Event& event, Effects& effects)
{
    if (!m_lastEventAt)
        m_storeLastSeenAt = event.now; // The time without contact to the store is measured from the first event.
    detectPause(event.now);
    std::visit([&](const auto& body) { on(body, event, effects); }, event.body);
    m_requests.dispatch(event, effects);
}

/// Ticks arrive every few milliseconds, so a long gap between two events means that this process was paused. Messages
/// that were buffered in its sockets describe the state before the pause, so all reports are discarded and requested
/// again.
void ReducerState::detectPause(TimePoint now)
{
    if (m_lastEventAt && now - *m_lastEventAt > MaxEventGap) {
        m_backends.expireReports();
        m_trustPeerReportsFrom = now + StaleReportWindow;
        m_nextProbeAt = TimePoint();
    }
    m_lastEventAt = now;
}

// ---- Requests ------------------------------------------------------------------------------------------------------

void ReducerState::on(const event::RequestArrived& body, const Event& event, Effects& effects)
{
    m_requests.arrived(body, { isDraining(), isIsolated(event.now) }, event, effects);
}

void ReducerState::on(const event::CallerLeft& body, const Event& event, Effects& effects)
{
    m_requests.callerLeft(body, event.now, effects);
}

void ReducerState::on(const event::TokenReceived& body, const Event& event, Effects& effects)
{
    m_requests.token(body, event.now, effects);
}

void ReducerState::on(const event::AttemptEnded& body, const Event& event, Effects& effects)
{
    m_requests.ended(body, event.now, effects);
}

void ReducerState::on(const event::AttemptFailed& body, const Event& event, Effects& effects)
{
    m_requests.failed(body, event.now, effects);
}

void ReducerState::on(const event::ClaimsRead& body, const Event& event, Effects& effects)
{
    if (body.available)
        m_storeLastSeenAt = event.now;
    m_requests.claimsRead(body, event.now, effects);
}

void ReducerState::on(const event::ClaimsAppended& body, const Event& event, Effects& effects)
{
    m_requests.claimsAppended(body, event.now, effects);
}

// ---- Configuration -------------------------------------------------------------------------------------------------

void ReducerState::on(const event::ConfigurationRead& body, const Event& event, Effects& effects)
{
    if (body.fromStore)
        m_storeLastSeenAt = event.now;
    if (!m_configuration.apply(body.change, m_options.guards.neverRevert)) {
        ++m_counters.configurationsIgnored;
        return;
    }
    ++m_counters.configurationsApplied;
    m_counters.configurationObjectsRejected = m_configuration.rejectedObjectCount();
    m_backends.apply(configuration());
    m_membership.setRevision(configuration().revision, event.now, effects);
    m_nextProbeAt = TimePoint();
}

void ReducerState::on(const event::StoreSeen& body, const Event& event, Effects&)
{
    if (body.available)
        m_storeLastSeenAt = event.now;
}

void ReducerState::fetchNewerConfiguration(const MemberUpdate& peer, TimePoint now, Effects& effects)
{
    if (peer.revision <= configuration().revision || now < m_nextFetchAt || peer.peerAddress.empty())
        return;
    m_nextFetchAt = now + MinFetchInterval;
    effects.push_back(effect::FetchConfiguration { peer.peerAddress });
}

void ReducerState::updateStoreFollowing(Effects& effects)
{
    const bool follow = m_membership.followsStore();
    if (follow == m_isFollowingStore)
        return;
    m_isFollowingStore = follow;
    effects.push_back(effect::FollowStore { follow });
}

// ---- Backend servers -----------------------------------------------------------------------------------------------

void ReducerState::on(const event::BackendReported& body, const Event& event, Effects& effects)
{
    if (m_backends.report(body.report, body.asked, event.now, 0))
        broadcastChange(body.report.backend, event.now, effects);
    m_requests.capacityMayHaveChanged();
}

void ReducerState::on(const event::BackendUnreachable& body, const Event& event, Effects& effects)
{
    if (m_backends.recordMissedProbe(body.backend))
        broadcastChange(body.backend, event.now, effects);
}

/// Sends a changed state to all instances, but only if this instance watches the server: if every instance that probes
/// the server did so, each change would cause a message from every instance to every other one.
void ReducerState::broadcastChange(const BackendId& id, TimePoint now, Effects& effects)
{
    const auto news = m_backends.newsOf(id, now);
    if (news && m_watchPlan.watched().contains(id))
        m_membership.broadcast({ *news }, effects);
}

void ReducerState::updateWatchPlan(TimePoint now)
{
    const std::uint64_t version = m_membership.version() + m_backends.version();
    if (version == m_watchPlanInputsVersion)
        return;
    m_watchPlanInputsVersion = version;
    std::vector<WatchPlan::Backend> backends;
    for (const BackendNews& news : m_backends.news(now)) {
        const BackendReport& report = news.report;
        std::string group = absl::StrCat(report.model, "/", report.layers.begin, "-", report.layers.end);
        backends.push_back({ report.backend, std::move(group), news.reachable });
    }
    m_watchPlan = WatchPlan::make(m_options.self.instance, m_membership.liveMembers(), backends,
        m_options.watchersPerBackend, m_options.subsetPerGroup);
    m_backends.setSubset(m_watchPlan);
}

void ReducerState::probeBackends(TimePoint now, Effects& effects)
{
    if (now < m_nextProbeAt)
        return;
    m_nextProbeAt = now + m_options.probeInterval;
    updateWatchPlan(now);
    for (const auto& [id, server] : configuration().backends) {
        // The reports of a failed watcher become stale, so the other instances then probe its servers themselves.
        if (m_watchPlan.watched().contains(id) || m_backends.isStale(id, now))
            effects.push_back(effect::ProbeBackend { id, server.address, now });
    }
}

void ReducerState::sendLoadReports(TimePoint now, Effects& effects)
{
    if (now < m_nextLoadReportAt)
        return;
    m_nextLoadReportAt = now + m_options.shareInterval;
    for (const auto& [address, ids] : m_watchPlan.reportTargets()) {
        std::vector<BackendNews> freshNews;
        for (const BackendId& id : ids) {
            auto news = m_backends.newsOf(id, now);
            if (news && news->age < m_options.reportLifetime)
                freshNews.push_back(*std::move(news));
        }
        if (!freshNews.empty())
            m_membership.sendReports(address, std::move(freshNews), effects);
    }
}

// ---- Peers ---------------------------------------------------------------------------------------------------------

void ReducerState::on(const event::PeerMessageReceived& body, const Event& event, Effects& effects)
{
    m_membership.handleMessage(body.message, event.now, effects);
    const bool trusted = event.now >= m_trustPeerReportsFrom;
    for (const BackendNews& news : body.message.backends) {
        if (!trusted)
            break;
        if (news.reachable)
            m_backends.report(news.report, event.now - news.age, event.now, news.sequence);
        else
            m_backends.markUnreachableByPeer(news.report.backend, news.sequence);
    }
    if (!body.message.backends.empty())
        m_requests.capacityMayHaveChanged();
    fetchNewerConfiguration(body.message.sender, event.now, effects);
    updateStoreFollowing(effects);
}

void ReducerState::on(const event::InstancesListed& body, const Event& event, Effects& effects)
{
    m_membership.addInstances(body, event.now);
    updateStoreFollowing(effects);
}

bool ReducerState::isIsolated(TimePoint now) const
{
    const TimePoint lastContact = std::max(m_storeLastSeenAt, m_membership.lastHeard());
    return now - lastContact > m_options.isolationLimit;
}

std::vector<MemberUpdate> ReducerState::entriesFor(const WorkspaceId& workspace) const
{
    std::vector<MemberUpdate> entries = m_membership.members();
    // An instance without a configuration cannot handle requests.
    std::erase_if(entries,
        [](const MemberUpdate& entry) { return entry.state != MemberState::Alive || entry.revision == Revision(); });
    const auto rank = [&](const MemberUpdate& entry) {
        const std::string key = workspace.value() + '\n' + entry.instance.value();
        return std::pair(entry.dataCentre != m_options.self.dataCentre, XXH3_64bits(key.data(), key.size()));
    };
    std::sort(entries.begin(), entries.end(),
        [&](const MemberUpdate& a, const MemberUpdate& b) { return rank(a) < rank(b); });
    return entries;
}

// ---- Drain and ticks -----------------------------------------------------------------------------------------------

void ReducerState::on(const event::DrainRequested&, const Event& event, Effects& effects)
{
    if (m_drainStartedAt)
        return;
    m_drainStartedAt = event.now;
    m_membership.leave(event.now, effects);
}

void ReducerState::finishDrain(TimePoint now, Effects& effects)
{
    if (!m_drainStartedAt || m_isDrainReported)
        return;
    // Callers may still use a cached list of entries that contains this instance. Until the list expires, this instance
    // refuses their requests, so that they try another one.
    const bool listExpired = now - *m_drainStartedAt >= m_options.entryLifetime;
    const bool streamsEnded = !m_requests.openRequestCount() || !m_options.guards.waitForStreams;
    if (!listExpired || !streamsEnded)
        return;
    m_isDrainReported = true;
    effects.push_back(effect::DrainFinished {});
}

void ReducerState::on(const event::Tick&, const Event& event, Effects& effects)
{
    m_requests.tick(event.now, effects);
    m_membership.tick(event.now, event.entropy, effects);
    updateStoreFollowing(effects);
    probeBackends(event.now, effects);
    sendLoadReports(event.now, effects);
    finishDrain(event.now, effects);
}

} // namespace crocusmount
