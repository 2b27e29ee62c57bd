#include "core/ReducerState.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <xxhash.h>

namespace crocusmount {

namespace {

    constexpr Duration PauseLimit = std::chrono::milliseconds(500);
    constexpr Duration PauseDrain = std::chrono::seconds(1); ///< time to read what waited in the sockets
    constexpr Duration FetchInterval = std::chrono::milliseconds(100); ///< least time between two fetches

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
    if (!m_lastEvent)
        m_storeSeen = event.now; // The time without the store counts from the start.
    noticePause(event.now);
    std::visit([&](const auto& body) { on(body, event, effects); }, event.body);
    m_requests.dispatch(event, effects);
}

/// Events come at least with every tick. After a longer silence this process was paused, and what waits in its sockets
/// tells of the time before.
void ReducerState::noticePause(TimePoint now)
{
    if (m_lastEvent && now - *m_lastEvent > PauseLimit) {
        m_backends.expireReports();
        m_trustPeersFrom = now + PauseDrain;
        m_nextProbe = TimePoint();
    }
    m_lastEvent = now;
}

// ---- Requests ------------------------------------------------------------------------------------------------------

void ReducerState::on(const event::RequestArrived& body, const Event& event, Effects& effects)
{
    m_requests.arrived(body, { isDraining(), isolated(event.now) }, event, effects);
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
        m_storeSeen = event.now;
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
        m_storeSeen = event.now;
    if (!m_configuration.apply(body.change, m_options.guards.neverRevert)) {
        ++m_counters.configurationsIgnored;
        return;
    }
    ++m_counters.configurationsApplied;
    m_counters.configurationObjectsRejected = m_configuration.rejected();
    m_backends.apply(configuration());
    m_membership.setRevision(configuration().revision, event.now, effects);
    m_nextProbe = TimePoint();
}

void ReducerState::on(const event::StoreSeen& body, const Event& event, Effects&)
{
    if (body.available)
        m_storeSeen = event.now;
}

void ReducerState::fetchNewer(const MemberUpdate& peer, TimePoint now, Effects& effects)
{
    if (peer.revision <= configuration().revision || now < m_nextFetch || peer.peerAddress.empty())
        return;
    m_nextFetch = now + FetchInterval;
    effects.push_back(effect::FetchConfiguration { peer.peerAddress });
}

void ReducerState::updateFollowing(Effects& effects)
{
    const bool follow = m_membership.followsStore();
    if (follow == m_following)
        return;
    m_following = follow;
    effects.push_back(effect::FollowStore { follow });
}

// ---- Backend servers -----------------------------------------------------------------------------------------------

void ReducerState::on(const event::BackendReported& body, const Event& event, Effects& effects)
{
    if (m_backends.report(body.report, body.asked, event.now, 0))
        spreadChange(body.report.backend, event.now, effects);
    m_requests.capacityMayHaveChanged();
}

void ReducerState::on(const event::BackendUnreachable& body, const Event& event, Effects& effects)
{
    if (m_backends.recordMissedProbe(body.backend))
        spreadChange(body.backend, event.now, effects);
}

/// Changes go to all at once, but only from watchers: a server that every instance asks must not be told by each to
/// all.
void ReducerState::spreadChange(const BackendId& id, TimePoint now, Effects& effects)
{
    const auto news = m_backends.newsOf(id, now);
    if (news && m_plan.watched().contains(id))
        m_membership.broadcast({ *news }, effects);
}

void ReducerState::updatePlan(TimePoint now)
{
    const std::uint64_t version = m_membership.version() + m_backends.version();
    if (version == m_planVersion)
        return;
    m_planVersion = version;
    std::vector<WatchPlan::Backend> backends;
    for (const BackendNews& news : m_backends.news(now)) {
        const BackendReport& report = news.report;
        std::string group = absl::StrCat(report.model, "/", report.layers.begin, "-", report.layers.end);
        backends.push_back({ report.backend, std::move(group), news.reachable });
    }
    m_plan = WatchPlan::make(m_options.self.instance, m_membership.liveMembers(), backends,
        m_options.watchersPerBackend, m_options.subsetPerGroup);
    m_backends.setSubset(m_plan);
}

void ReducerState::probeBackends(TimePoint now, Effects& effects)
{
    if (now < m_nextProbe)
        return;
    m_nextProbe = now + m_options.probeInterval;
    updatePlan(now);
    for (const auto& [id, server] : configuration().backends) {
        // A watcher that has died is missed by the age of what it told.
        if (m_plan.watched().contains(id) || m_backends.isStale(id, now))
            effects.push_back(effect::ProbeBackend { id, server.address, now });
    }
}

void ReducerState::shareLoad(TimePoint now, Effects& effects)
{
    if (now < m_nextShare)
        return;
    m_nextShare = now + m_options.shareInterval;
    for (const auto& [address, ids] : m_plan.reportTargets()) {
        std::vector<BackendNews> told;
        for (const BackendId& id : ids) {
            auto news = m_backends.newsOf(id, now);
            if (news && news->age < m_options.reportLifetime)
                told.push_back(*std::move(news));
        }
        if (!told.empty())
            m_membership.sendReports(address, std::move(told), effects);
    }
}

// ---- Peers ---------------------------------------------------------------------------------------------------------

void ReducerState::on(const event::PeerMessageReceived& body, const Event& event, Effects& effects)
{
    m_membership.handleMessage(body.message, event.now, effects);
    const bool trusted = event.now >= m_trustPeersFrom;
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
    fetchNewer(body.message.sender, event.now, effects);
    updateFollowing(effects);
}

void ReducerState::on(const event::InstancesListed& body, const Event& event, Effects& effects)
{
    m_membership.addInstances(body, event.now);
    updateFollowing(effects);
}

bool ReducerState::isolated(TimePoint now) const
{
    const TimePoint lastContact = std::max(m_storeSeen, m_membership.lastHeard());
    return now - lastContact > m_options.isolationLimit;
}

std::vector<MemberUpdate> ReducerState::entriesFor(const WorkspaceId& workspace) const
{
    std::vector<MemberUpdate> entries = m_membership.members();
    // An instance that has no configuration yet cannot serve.
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

// ---- Leaving and time ----------------------------------------------------------------------------------------------

void ReducerState::on(const event::DrainRequested&, const Event& event, Effects& effects)
{
    if (m_drainedAt)
        return;
    m_drainedAt = event.now;
    m_membership.leave(event.now, effects);
}

void ReducerState::finishDrain(TimePoint now, Effects& effects)
{
    if (!m_drainedAt || m_drainReported)
        return;
    // Callers may hold the list of entries for its lifetime, and need an answer that sends them elsewhere.
    const bool listExpired = now - *m_drainedAt >= m_options.entryLifetime;
    const bool streamsEnded = !m_requests.openRequestCount() || !m_options.guards.waitForStreams;
    if (!listExpired || !streamsEnded)
        return;
    m_drainReported = true;
    effects.push_back(effect::DrainFinished {});
}

void ReducerState::on(const event::Tick&, const Event& event, Effects& effects)
{
    m_requests.tick(event.now, effects);
    m_membership.tick(event.now, event.entropy, effects);
    updateFollowing(effects);
    probeBackends(event.now, effects);
    shareLoad(event.now, effects);
    finishDrain(event.now, effects);
}

} // namespace crocusmount
