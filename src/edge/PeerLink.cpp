#include "edge/PeerLink.h"

#include "edge/DecisionLog.h"
#include "edge/ForwardPlan.h"
#include "edge/InstanceRegistry.h"
#include "edge/PeerDatagram.h"
#include "edge/RelayNode.h"
#include "shell/Endpoint.h"

namespace crocusmount {

namespace {

    /// Sums of loads are two rounds old when they reach their readers, while streams last seconds.
    constexpr std::chrono::milliseconds RoundInterval { 150 };
    /// Rounds in which a report passes from any instance to any other: its own, its collector's and the receiver's
    /// collector's.
    constexpr std::uint64_t RoundsOfOneReport = 3;
    /// Maximum share of the link bandwidth for load reports, so that they do not delay store changes.
    constexpr double MaxLoadReportShare = 0.3;
    constexpr std::size_t MaxDatagramBytes = 65000;
    /// Space reserved in a datagram for the encoded forwardUntil.
    constexpr std::size_t MaxForwardUntilBytes = 300;
    /// Minimum number of instances that a datagram is sent to directly. It limits the number of hops on slow links.
    constexpr std::size_t MinFanOut = 3;
    /// Number of rounds in which a leaving instance announces that it leaves, as datagrams can be lost.
    constexpr int LeavingAnnouncements = 3;
    /// Number of rounds in which a datagram is sent again, as datagrams can be lost.
    constexpr int RepeatRounds = 2;
    /// Each trait takes about 100 bytes if the workspace's name or the id of the part is long.
    constexpr std::size_t MaxCrashTraitsPerDatagram = 200;
    /// Maximum total size of the keys and values in one datagram. Their encoding adds a few bytes per change. When the
    /// store is back after an outage, the entries of all engines arrive in one batch. If that batch did not fit into
    /// datagrams, every instance would have to read the store.
    constexpr std::size_t MaxChangeBytesPerDatagram = 50000;

    /// Maximum time for sending a datagram of store changes directly. If the link cannot reach all receivers in this
    /// time, the receivers forward the datagram.
    constexpr std::chrono::milliseconds MaxChangeSendTime { 100 };

    std::size_t linkCapacityBytes(double linkMbps, std::chrono::milliseconds interval)
    {
        constexpr double BytesPerMegabit = 125000;
        return static_cast<std::size_t>(linkMbps * BytesPerMegabit * std::chrono::duration<double>(interval).count());
    }

    std::size_t loadReportBytesPerRound(double linkMbps)
    {
        return static_cast<std::size_t>(
            MaxLoadReportShare * static_cast<double>(linkCapacityBytes(linkMbps, RoundInterval)));
    }

    relay::LoadPeer peerOf(const InstanceRegistry::Entry& entry)
    {
        return { InstanceId(entry.id), DataCentreId(entry.dataCentre), entry.peerAddress };
    }

} // namespace

PeerLink::PeerLink(
    net::io_context& context, relay::RelayNode& node, InstanceRegistry& registry, StoreMirror& mirror, double linkMbps)
    : m_context(context)
    , m_node(node)
    , m_registry(registry)
    , m_mirror(mirror)
    , m_exchange(peerOf(registry.self()), loadReportBytesPerRound(linkMbps))
    , m_socket(context)
    , m_copies(context, registry, mirror)
    , m_changeSendBytes(linkCapacityBytes(linkMbps, MaxChangeSendTime))
{
}

absl::StatusOr<std::unique_ptr<PeerLink>> PeerLink::make(
    net::io_context& context, relay::RelayNode& node, InstanceRegistry& registry, StoreMirror& mirror, double linkMbps)
{
    const auto endpoint = parseEndpoint<Udp>(registry.self().peerAddress);
    if (!endpoint.ok())
        return endpoint.status();
    std::unique_ptr<PeerLink> link(new PeerLink(context, node, registry, mirror, linkMbps));
    boost::system::error_code error;
    link->m_socket.open(endpoint->protocol(), error);
    if (!error)
        link->m_socket.bind(*endpoint, error);
    if (error)
        return absl::UnavailableError("cannot bind " + registry.self().peerAddress + ": " + error.message());
    link->m_socket.non_blocking(true);
    auto server = HttpServer::make(context, registry.self().peerAddress, HttpLimits(), link->m_copies);
    if (!server.ok())
        return server.status();
    link->m_copyServer = *std::move(server);
    mirror.setCopySource(link->m_copies);
    node.setPeers(*link);
    mirror.setOnBatch([raw = link.get()](const StoreMirror::Changes& changes) { raw->distribute(changes); });
    net::co_spawn(context.get_executor(), link->receiveLoop(), net::detached);
    net::co_spawn(context.get_executor(), link->roundLoop(), net::detached);
    return link;
}

Awaitable<void> PeerLink::receiveLoop()
{
    std::string buffer(MaxDatagramBytes, '\0');
    Udp::endpoint from;
    for (;;) {
        const auto [error, count]
            = co_await m_socket.async_receive_from(net::buffer(buffer), from, net::as_tuple(useAwaitable));
        if (error == net::error::operation_aborted)
            co_return;
        if (error)
            continue; // An earlier datagram was refused, for example because the peer is down.
        receive(buffer.substr(0, count), from);
    }
}

void PeerLink::receive(const std::string& bytes, const Udp::endpoint& from)
{
    ++m_traffic.received;
    const auto datagram = decodePeerDatagram(bytes, m_node.now());
    if (!datagram.ok()) {
        ++m_traffic.malformed;
        return;
    }
    if (datagram->loads)
        m_exchange.receive(*datagram->loads, m_node.now());
    if (datagram->leavingInstance)
        m_registry.noteLeaving(*datagram->leavingInstance);
    if (!datagram->deadEngines.empty())
        m_node.post(relay::event::EnginesReportedDead { datagram->deadEngines });
    if (!datagram->closedEngines.empty())
        m_node.post(relay::event::EnginesReportedClosed { datagram->closedEngines });
    if (!datagram->crashes.empty())
        m_node.post(relay::event::CrashesReported { datagram->crashes });
    if (!datagram->soundRuns.empty())
        m_node.post(relay::event::SoundRunsReported { datagram->soundRuns });
    if (datagram->permitRequest)
        receivePermitRequest(*datagram->permitRequest, from);
    if (datagram->permitAnswer)
        m_node.post(relay::event::PermitsAnswered { *datagram->permitAnswer });
    if (datagram->serverLimit)
        m_node.post(relay::event::ServerLimitReported { datagram->serverLimit->server, datagram->serverLimit->limit });
    if (datagram->storeChanges && !datagram->forwardUntil.empty())
        forward(*datagram, m_registry.self().id, datagram->forwardUntil);
    // The first instance of a data centre ignores its peers' copies while it can reach the store. If two instances
    // watch the store, the first one thus continues and the other one stops.
    if (m_exchange.hasLowestId() && m_mirror.isStoreReachable())
        return;
    if (datagram->storeChanges)
        m_mirror.applyPeerChanges(*datagram->storeChanges);
    if (datagram->storeProgress)
        m_mirror.notePeerProgress(*datagram->storeProgress);
    reportStoreCopy();
}

/// Passes changes of the store on to the other instances of this data centre. A change that is too large for a datagram
/// is not sent. The receivers read it from the store, together with the changes after it.
void PeerLink::distribute(const StoreMirror::Changes& changes)
{
    m_mirror.setWatchRank(m_registry.rankInDataCentre());
    if (!distributesStoreChanges())
        return;
    for (StoreMirror::Changes& part : StoreMirror::split(changes, MaxChangeBytesPerDatagram)) {
        forward(PeerDatagram { std::nullopt, std::nullopt, std::move(part), {} }, {}, {});
    }
}

/// Sends store changes to instances of this data centre in a range of ids. If the link cannot carry all datagrams
/// within MaxChangeSendTime, some receivers forward them to the rest.
/// @param after  exclusive lower bound
/// @param until  inclusive upper bound; empty: no bound
void PeerLink::forward(PeerDatagram datagram, const std::string& after, const std::string& until)
{
    datagram.forwardUntil.clear();
    const std::string bytes = encode(datagram);
    if (bytes.size() > MaxDatagramBytes - MaxForwardUntilBytes)
        return;
    std::vector<ForwardMember> members;
    for (const InstanceRegistry::Entry& entry : m_registry.others()) {
        const bool isInRange = entry.id > after && (until.empty() || entry.id <= until);
        if (isInRange && entry.dataCentre == m_registry.self().dataCentre && !entry.peerAddress.empty())
            members.push_back({ entry.id, entry.peerAddress, m_registry.isSilentOrLeaving(entry) });
    }
    const std::size_t fanOut = m_changeSendBytes ? m_changeSendBytes / bytes.size() : members.size();
    for (const ForwardTarget& target : planForward(members, std::max(MinFanOut, fanOut))) {
        if (target.forwardUntil.empty()) {
            send(target.address, bytes);
            continue;
        }
        datagram.forwardUntil = target.forwardUntil;
        send(target.address, encode(datagram));
    }
}

void PeerLink::sendToDataCentre(const std::string& bytes)
{
    for (const InstanceRegistry::Entry& entry : m_registry.others()) {
        if (entry.dataCentre == m_registry.self().dataCentre && !entry.peerAddress.empty())
            send(entry.peerAddress, bytes);
    }
}

/// Notifies the relay when the copy of the store becomes outdated or current again.
void PeerLink::reportStoreCopy()
{
    const bool isOutdated = m_mirror.isOutdated();
    if (isOutdated != std::exchange(m_reportedOutdated, isOutdated))
        m_node.post(relay::event::StoreCopyChecked { isOutdated });
}

void PeerLink::announceLeaving()
{
    if (m_leavingAnnouncements++ >= LeavingAnnouncements)
        return;
    PeerDatagram datagram;
    datagram.leavingInstance = relay::instanceKey(InstanceId(m_registry.self().id));
    sendToAll(encode(datagram));
}

/// Sends a finding to all other instances immediately. The next round would be too late, as the interval of the rounds
/// is as long as the pause that callers accept.
void PeerLink::onShareFinding(const relay::effect::ReportEngineState& report)
{
    PeerDatagram datagram;
    const bool isDead = report.finding == relay::effect::ReportEngineState::Finding::Dead;
    (isDead ? datagram.deadEngines : datagram.closedEngines)
        .push_back(relay::engineKey(report.engine, report.startedAt));
    sendToAll(encode(datagram));
}

void PeerLink::onShareCrashes(const relay::effect::ShareCrashes& crashes)
{
    PeerDatagram datagram;
    std::size_t traitCount = 0;
    for (const relay::CrashReport& report : crashes.crashes) {
        datagram.crashes.push_back(report);
        traitCount += report.suspect.traits.size();
        if (traitCount < MaxCrashTraitsPerDatagram)
            continue;
        sendRepeatedly(encode(datagram));
        datagram.crashes.clear();
        traitCount = 0;
    }
    if (!datagram.crashes.empty())
        sendRepeatedly(encode(datagram));
}

void PeerLink::onShareSoundRuns(const relay::effect::ShareSoundRuns& share)
{
    PeerDatagram datagram;
    datagram.soundRuns = share.runs;
    sendRepeatedly(encode(datagram));
}

/// Instances that do not receive this learn of the limit from answers of the server.
void PeerLink::onShareServerLimit(const relay::effect::ShareServerLimit& share)
{
    PeerDatagram datagram;
    datagram.serverLimit = ServerLimitReport { share.server, share.limit };
    sendToAll(encode(datagram, m_node.now()));
}

void PeerLink::onRequestPermits(const relay::effect::RequestPermits& effect)
{
    const auto coordinator = coordinatorOf(effect.request.server);
    if (!coordinator)
        return;
    PeerDatagram datagram;
    datagram.permitRequest = effect.request;
    datagram.permitRequest->sender = InstanceId(m_registry.self().id);
    if (*coordinator == datagram.permitRequest->sender)
        m_node.post(relay::event::PermitsRequested { *datagram.permitRequest });
    else if (const auto address = m_addresses.find(*coordinator); address != m_addresses.end())
        send(address->second, encode(datagram, m_node.now()));
}

/// Two instances that both grant permits for one server would exceed its limit, so only the one that considers itself
/// the coordinator answers.
void PeerLink::receivePermitRequest(const relay::PermitRequest& request, const Udp::endpoint& from)
{
    if (coordinatorOf(request.server) != InstanceId(m_registry.self().id)) {
        ++m_traffic.misdirectedPermitRequests;
        return;
    }
    // The sender may not be listed: the store may reject its calls while it serves the other instances.
    m_addresses.try_emplace(request.sender, from.address().to_string() + ":" + std::to_string(from.port()));
    m_node.post(relay::event::PermitsRequested { request });
}

void PeerLink::onAnswerPermits(const relay::effect::AnswerPermits& effect)
{
    if (effect.requester == InstanceId(m_registry.self().id)) {
        m_node.post(relay::event::PermitsAnswered { effect.answer });
        return;
    }
    const auto address = m_addresses.find(effect.requester);
    if (address == m_addresses.end())
        return;
    PeerDatagram datagram;
    datagram.permitAnswer = effect.answer;
    send(address->second, encode(datagram, m_node.now()));
}

std::optional<InstanceId> PeerLink::coordinatorOf(std::uint64_t server)
{
    if (m_node.now() >= m_coordinatorsUpdatedAt + RoundInterval)
        updateCoordinators();
    return m_coordinators.coordinatorOf(server);
}

void PeerLink::updateCoordinators()
{
    m_coordinatorsUpdatedAt = m_node.now();
    m_addresses.clear();
    std::vector<relay::LimitCoordinators::Candidate> candidates;
    const InstanceRegistry::Entry& self = m_registry.self();
    // An instance whose own entry has ended is no coordinator to the others either. If it asked itself, it would grant
    // permits beside theirs.
    if (m_registry.isListed(self.id))
        candidates.push_back({ InstanceId(self.id), self.peerAddress, !m_registry.isWithdrawn() });
    for (const InstanceRegistry::Entry& entry : m_registry.others()) {
        if (entry.peerAddress.empty())
            continue;
        m_addresses[InstanceId(entry.id)] = entry.peerAddress;
        candidates.push_back({ InstanceId(entry.id), entry.peerAddress, !m_registry.isSilentOrLeaving(entry) });
    }
    m_coordinators.update(candidates, m_node.now());
}

/// Sends a datagram to all other instances now and in the next rounds, so that it reaches them despite packet loss.
void PeerLink::sendRepeatedly(std::string bytes)
{
    sendToAll(bytes);
    m_repeatedDatagrams.push_back({ std::move(bytes), RepeatRounds });
}

void PeerLink::sendRepeats()
{
    for (RepeatedDatagram& each : m_repeatedDatagrams) {
        sendToAll(each.bytes);
        --each.roundsLeft;
    }
    std::erase_if(m_repeatedDatagrams, [](const RepeatedDatagram& each) { return each.roundsLeft <= 0; });
}

void PeerLink::sendToAll(const std::string& bytes)
{
    for (const InstanceRegistry::Entry& entry : m_registry.others()) {
        if (!entry.peerAddress.empty())
            send(entry.peerAddress, bytes);
    }
}

Awaitable<void> PeerLink::roundLoop()
{
    Timer timer(m_context.get_executor());
    for (;;) {
        timer.expires_after(RoundInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        makeRound();
    }
}

bool PeerLink::hasCurrentReports() const
{
    if (m_registry.isWithdrawn() && !m_exchange.hearsOthers())
        return false;
    return m_registry.count() == 1 || (m_rounds >= RoundsOfOneReport && !wasPaused());
}

bool PeerLink::wasPaused() const { return m_node.now() > m_lastRoundAt + relay::LoadExchange::ReportLifetime; }

void PeerLink::makeRound()
{
    m_rounds = wasPaused() ? 1 : m_rounds + 1;
    m_lastRoundAt = m_node.now();
    std::vector<relay::LoadPeer> others;
    for (const InstanceRegistry::Entry& entry : m_registry.others()) {
        if (!entry.peerAddress.empty())
            others.push_back(peerOf(entry));
    }
    m_exchange.setLeaving(m_registry.isWithdrawn());
    m_exchange.setPeers(std::move(others), m_node.now());
    // The list can be long, so it is read only while a server names a limit.
    if (m_node.reducer().fleet().limitedCount())
        updateCoordinators();
    m_mirror.setWatchRank(m_registry.rankInDataCentre());
    if (distributesStoreChanges() != std::exchange(m_distributedStoreChanges, distributesStoreChanges()))
        relay::DecisionLog::state(
            "store_follower", { { "watches", m_distributedStoreChanges }, { "instances", m_registry.count() } });
    m_exchange.setCutOff(m_node.reducer().isCutOff());
    for (auto& each : m_exchange.makeRound(m_node.reducer().ownLoads(m_node.now()), m_node.now())) {
        const PeerDatagram datagram { std::move(each.report), std::nullopt, std::nullopt, {} };
        send(each.address, encode(datagram, m_node.now()));
    }
    if (distributesStoreChanges())
        sendToDataCentre(encode(PeerDatagram { std::nullopt, m_mirror.progress(), std::nullopt, {} }));
    sendRepeats();
    if (m_registry.isWithdrawn())
        announceLeaving();
    reportStoreCopy();
    m_registry.setSilentInstances(m_exchange.silentInstances(m_node.now()));
    m_registry.setCutOffInstances(m_exchange.cutOffInstances(m_node.now()));
    auto loads = m_exchange.loadOfOthers(m_node.now());
    if (loads.has_value() != std::exchange(m_knowsOtherLoads, loads.has_value()))
        relay::DecisionLog::state(
            "loads", { { "known", loads.has_value() }, { "collector", m_exchange.isCollector() } });
    m_node.post(relay::event::LoadsReported { std::move(loads), m_exchange.takeReturns() });
}

void PeerLink::send(const std::string& address, const std::string& bytes)
{
    const auto endpoint = parseEndpoint<Udp>(address);
    if (!endpoint.ok())
        return;
    boost::system::error_code error;
    m_socket.send_to(net::buffer(bytes), *endpoint, 0, error);
    if (error)
        ++m_traffic.sendErrors;
    else
        m_traffic.sentBytes += bytes.size();
}

} // namespace crocusmount
