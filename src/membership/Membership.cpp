#include "membership/Membership.h"

#include "membership/Rendezvous.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <bit>

namespace crocusmount {

namespace {

    constexpr std::size_t MaxUpdatesPerMessage = 6;
    constexpr std::size_t IndirectProbeCount = 3; ///< instances asked to ping a target that does not answer
    constexpr std::uint32_t TransmissionFactor = 3; ///< messages per change, as a multiple of log2 of the instances
    /// Time for which a dead instance is kept, so that a delayed message does not add it again as alive.
    constexpr Duration DeadRetention = std::chrono::seconds(60);
    /// One in this many probes may go to a dead instance, so that the parts of a healed partition find each other.
    constexpr std::uint64_t DeadProbeInterval = 8;

    /// @return whether an update replaces another: it has a higher incarnation, or a later state within one incarnation
    bool isNewer(const MemberUpdate& a, const MemberUpdate& b)
    {
        return std::pair(a.incarnation, a.state) > std::pair(b.incarnation, b.state);
    }

    bool isLive(const MemberUpdate& update) { return update.state != MemberState::Dead; }

} // namespace

Membership::Membership(const ReducerOptions& options)
    : m_options(options)
    , m_self(options.self)
{
}

bool Membership::applyUpdate(const MemberUpdate& update, TimePoint now)
{
    if (update.instance == m_self.instance) {
        refute(update);
        return false;
    }
    const auto [position, added] = m_members.try_emplace(update.instance);
    Member& member = position->second;
    if (!added && !isNewer(update, member.update)) {
        const bool hasEqualIncarnation = update.incarnation == member.update.incarnation;
        if (hasEqualIncarnation && update.revision > member.update.revision)
            member.update.revision = update.revision;
        return false;
    }
    if (added && !isLive(update)) {
        m_members.erase(position);
        return false;
    }
    const Revision known = member.update.revision;
    member.update = update;
    member.update.revision = std::max(known, update.revision);
    member.stateSince = now;
    member.transmissions = 0;
    ++m_version;
    return true;
}

void Membership::refute(const MemberUpdate& update)
{
    const bool isMisjudged = update.state == MemberState::Suspect || update.state == MemberState::Dead;
    if (isMisjudged && update.incarnation >= m_self.incarnation)
        m_self.incarnation = update.incarnation + 1;
}

void Membership::addInstances(const event::InstancesListed& event, TimePoint now)
{
    for (const MemberUpdate& update : event.instances) {
        const bool known = m_members.contains(update.instance);
        if (!known && update.instance != m_self.instance && isLive(update))
            applyUpdate(update, now);
    }
}

std::uint32_t Membership::maxTransmissions() const
{
    return TransmissionFactor * static_cast<std::uint32_t>(std::bit_width(m_members.size() + 1));
}

PeerMessage Membership::makeMessage(PeerMessageKind kind, std::uint64_t sequence)
{
    PeerMessage message;
    message.kind = kind;
    message.sender = m_self;
    message.sequence = sequence;
    std::vector<Member*> recentlyChanged;
    for (auto& [id, member] : m_members) {
        if (member.transmissions < maxTransmissions())
            recentlyChanged.push_back(&member);
    }
    const std::size_t count = std::min(MaxUpdatesPerMessage, recentlyChanged.size());
    std::partial_sort(recentlyChanged.begin(), recentlyChanged.begin() + static_cast<std::ptrdiff_t>(count),
        recentlyChanged.end(), [](const Member* a, const Member* b) { return a->transmissions < b->transmissions; });
    for (std::size_t i = 0; i < count; ++i) {
        ++recentlyChanged[i]->transmissions;
        message.updates.push_back(recentlyChanged[i]->update);
    }
    return message;
}

void Membership::send(const std::string& address, PeerMessage message, Effects& effects)
{
    effects.push_back(effect::SendPeerMessage { address, std::move(message) });
}

void Membership::notifyMisjudged(const MemberUpdate& sender, Effects& effects)
{
    const auto known = m_members.find(sender.instance);
    if (known == m_members.end() || sender.state != MemberState::Alive)
        return;
    const MemberUpdate& knownUpdate = known->second.update;
    const bool isMisjudged = knownUpdate.state == MemberState::Suspect || knownUpdate.state == MemberState::Dead;
    if (!isMisjudged || knownUpdate.incarnation < sender.incarnation)
        return;
    PeerMessage correction = makeMessage(PeerMessageKind::News, 0);
    correction.updates.push_back(knownUpdate);
    send(sender.peerAddress, std::move(correction), effects);
}

void Membership::handleMessage(const PeerMessage& incoming, TimePoint now, Effects& effects)
{
    m_lastHeard = now;
    MemberUpdate sender = incoming.sender;
    if (sender.peerAddress.empty()) {
        const auto member = m_members.find(sender.instance);
        if (member != m_members.end() && member->second.update.incarnation == sender.incarnation)
            member->second.update.revision = std::max(member->second.update.revision, sender.revision);
        return;
    }
    notifyMisjudged(sender, effects);
    applyUpdate(sender, now);
    for (const MemberUpdate& update : incoming.updates)
        applyUpdate(update, now);
    switch (incoming.kind) {
    case PeerMessageKind::Ping:
        send(sender.peerAddress, makeMessage(PeerMessageKind::Ack, incoming.sequence), effects);
        break;
    case PeerMessageKind::Ack: {
        if (m_probe && m_probe->sequence == incoming.sequence)
            m_probe.reset();
        const auto forwarded = std::find_if(m_forwardedPings.begin(), m_forwardedPings.end(),
            [&](const ForwardedPing& ping) { return ping.sequence == incoming.sequence; });
        if (forwarded != m_forwardedPings.end()) {
            send(forwarded->requester, makeMessage(PeerMessageKind::Ack, forwarded->requesterSequence), effects);
            m_forwardedPings.erase(forwarded);
        }
        break;
    }
    case PeerMessageKind::PingRequest: {
        const auto target = m_members.find(incoming.target);
        if (target == m_members.end())
            break;
        const std::uint64_t sequence = m_nextSequence++;
        m_forwardedPings.push_back({ sequence, sender.peerAddress, incoming.sequence, now });
        send(target->second.update.peerAddress, makeMessage(PeerMessageKind::Ping, sequence), effects);
        break;
    }
    case PeerMessageKind::News:
        break;
    }
}

void Membership::probeNext(TimePoint now, std::uint64_t entropy, Effects& effects)
{
    const bool mayProbeDead = entropy % DeadProbeInterval == 0;
    if (m_probeOrder.empty()) {
        for (const auto& [id, member] : m_members)
            m_probeOrder.push_back(id);
        for (std::size_t i = m_probeOrder.size(); i > 1; --i) {
            entropy = entropy * 6364136223846793005ULL + 1442695040888963407ULL;
            std::swap(m_probeOrder[i - 1], m_probeOrder[(entropy >> 33) % i]);
        }
    }
    while (!m_probeOrder.empty()) {
        const auto target = m_members.find(m_probeOrder.back());
        m_probeOrder.pop_back();
        if (target == m_members.end() || (!isLive(target->second.update) && !mayProbeDead))
            continue;
        m_probe = Probe { target->first, m_nextSequence++, now, false };
        send(target->second.update.peerAddress, makeMessage(PeerMessageKind::Ping, m_probe->sequence), effects);
        return;
    }
}

void Membership::advanceProbe(TimePoint now, std::uint64_t entropy, Effects& effects)
{
    if (!m_probe || m_probe->isIndirect || now - m_probe->sentAt < m_options.ackTimeout)
        return;
    m_probe->isIndirect = true;
    std::vector<const Member*> helpers;
    for (const auto& [id, member] : m_members) {
        if (id != m_probe->target && member.update.state == MemberState::Alive)
            helpers.push_back(&member);
    }
    for (std::size_t i = 0; i < IndirectProbeCount && !helpers.empty(); ++i) {
        const std::size_t chosen = (entropy >> (8 * i)) % helpers.size();
        PeerMessage request = makeMessage(PeerMessageKind::PingRequest, m_probe->sequence);
        request.target = m_probe->target;
        send(helpers[chosen]->update.peerAddress, std::move(request), effects);
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void Membership::expireMembers(TimePoint now)
{
    for (auto next = m_members.begin(); next != m_members.end();) {
        Member& member = next->second;
        const Duration age = now - member.stateSince;
        if (member.update.state == MemberState::Suspect && age >= m_options.suspicionTimeout) {
            member.update.state = MemberState::Dead;
            member.stateSince = now;
            member.transmissions = 0;
            ++m_version;
        }
        const bool isExpired = member.update.state == MemberState::Dead && age >= DeadRetention && hasPeers();
        next = isExpired ? m_members.erase(next) : std::next(next);
    }
    std::erase_if(m_forwardedPings,
        [&](const ForwardedPing& forwarded) { return now - forwarded.sentAt > m_options.gossipInterval; });
}

void Membership::tick(TimePoint now, std::uint64_t entropy, Effects& effects)
{
    expireMembers(now);
    advanceProbe(now, entropy, effects);
    if (now < m_nextProbe)
        return;
    if (m_probe) {
        const auto target = m_members.find(m_probe->target);
        if (target != m_members.end() && isLive(target->second.update)
            && target->second.update.state != MemberState::Suspect) {
            MemberUpdate suspected = target->second.update;
            suspected.state = MemberState::Suspect;
            // A leaving instance that no longer answers has left.
            if (target->second.update.state == MemberState::Leaving)
                suspected.state = MemberState::Dead;
            target->second.update = suspected;
            ++m_version;
            target->second.stateSince = now;
            target->second.transmissions = 0;
        }
        m_probe.reset();
    }
    m_nextProbe = now + m_options.gossipInterval;
    probeNext(now, entropy, effects);
}

void Membership::leave(TimePoint, Effects& effects)
{
    m_self.state = MemberState::Leaving;
    ++m_version;
    ++m_self.incarnation;
    for (const auto& [id, member] : m_members) {
        if (isLive(member.update))
            send(member.update.peerAddress, makeMessage(PeerMessageKind::News, 0), effects);
    }
}

void Membership::setRevision(Revision revision, TimePoint, Effects& effects)
{
    m_self.revision = revision;
    for (const auto& [id, member] : m_members) {
        const bool isInSameDataCentre = member.update.dataCentre == m_self.dataCentre;
        if (isInSameDataCentre && isLive(member.update) && member.update.revision < revision)
            send(member.update.peerAddress, makeMessage(PeerMessageKind::News, 0), effects);
    }
}

void Membership::broadcast(const std::vector<BackendNews>& news, Effects& effects) const
{
    for (const auto& [id, member] : m_members) {
        if (isLive(member.update))
            sendReports(member.update.peerAddress, news, effects);
    }
}

std::vector<MemberUpdate> Membership::members() const
{
    std::vector<MemberUpdate> all { m_self };
    for (const auto& [id, member] : m_members)
        all.push_back(member.update);
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.instance < b.instance; });
    return all;
}

std::size_t Membership::rankOf(const std::string& key, bool sameDataCentre) const
{
    const std::uint64_t own = rendezvous(key, m_self.instance);
    std::size_t rank = 0;
    for (const auto& [id, member] : m_members) {
        const bool isRanked = member.update.state == MemberState::Alive
            && (!sameDataCentre || member.update.dataCentre == m_self.dataCentre);
        if (isRanked && rendezvous(key, id) > own)
            ++rank;
    }
    return rank;
}

std::vector<MemberUpdate> Membership::liveMembers() const
{
    std::vector<MemberUpdate> all = members();
    // A suspect keeps its share of the servers until it is declared dead, so that a late answer changes no assignment.
    std::erase_if(all, [](const MemberUpdate& member) {
        return member.state == MemberState::Dead || member.state == MemberState::Leaving;
    });
    return all;
}

void Membership::sendReports(const std::string& address, std::vector<BackendNews> news, Effects& effects) const
{
    PeerMessage outgoing;
    outgoing.kind = PeerMessageKind::News;
    // The receiver knows the addresses of this instance from probes. Including them would double the datagram.
    outgoing.sender.instance = m_self.instance;
    outgoing.sender.incarnation = m_self.incarnation;
    outgoing.sender.state = m_self.state;
    outgoing.sender.revision = m_self.revision;
    outgoing.backends = std::move(news);
    effects.push_back(effect::SendPeerMessage { address, std::move(outgoing) });
}

bool Membership::followsStore() const
{
    return rankOf(m_self.dataCentre.value(), true) < m_options.followersPerDataCentre;
}

bool Membership::hasPeers() const
{
    return std::any_of(m_members.begin(), m_members.end(),
        [](const auto& member) { return member.second.update.state == MemberState::Alive; });
}

} // namespace crocusmount
