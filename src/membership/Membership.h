#pragma once

#include "crocusmount/Effect.h"
#include "crocusmount/Event.h"
#include "crocusmount/ReducerOptions.h"

#include <map>
#include <optional>
#include <vector>

namespace crocusmount {

/// Tracks which instances are alive, with a gossip protocol like SWIM: instances probe each other in turn, suspect
/// those that do not answer, refute a wrong suspicion by a higher incarnation, and attach changes to the probe messages
/// (docs/decisions/0005-membership.md).
class Membership {
public:
    explicit Membership(const ReducerOptions&);

    /// Adds the instances of the platform's list or of the seeds that are not known yet. They are probed from then on.
    void addInstances(const event::InstancesListed&, TimePoint now);
    /// Processes a message of a peer and answers it.
    void handleMessage(const PeerMessage&, TimePoint now, Effects&);
    /// Probes the next instance when due, and updates the states of instances that did not answer.
    void tick(TimePoint now, std::uint64_t entropy, Effects&);
    /// Marks this instance as leaving and notifies all live instances.
    void leave(TimePoint now, Effects&);
    /// Sets the revision of the configuration in force at this instance, and notifies the live instances of its data
    /// centre that have an older one.
    void setRevision(Revision, TimePoint now, Effects&);
    /// Sends reports on backend servers to all live instances.
    void broadcast(const std::vector<BackendNews>&, Effects&) const;
    /// Sends reports on backend servers to one instance.
    /// @param address  "ip:port" of the peer
    void sendReports(const std::string& address, std::vector<BackendNews>, Effects&) const;

    /// @return this instance and all known ones, including dead ones, in order of id
    std::vector<MemberUpdate> members() const;
    /// @return this instance and those that are neither dead nor leaving, in order of id
    std::vector<MemberUpdate> liveMembers() const;
    /// @return a count that grows with each change of the state or incarnation of an instance
    std::uint64_t version() const { return m_version; }
    /// @return whether this instance is one of those that watch the store for its data centre
    bool followsStore() const;
    /// @return the time of the last message of a peer; zero: none yet
    TimePoint lastHeard() const { return m_lastHeard; }
    /// @return whether any other instance is alive, as far as this instance knows
    bool hasPeers() const;

private:
    /// Another instance.
    struct Member {
        MemberUpdate update; ///< its last known state
        TimePoint stateSince; ///< time of the last change
        std::uint32_t transmissions = 0; ///< number of messages in which the last change was sent
    };
    /// The ping of this instance that awaits an answer.
    struct Probe {
        InstanceId target;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        bool isIndirect = false; ///< other instances were asked to ping the target too
    };
    /// A ping that this instance sent on behalf of another.
    struct ForwardedPing {
        std::uint64_t sequence = 0; ///< of the ping to the target
        std::string requester; ///< "ip:port"
        std::uint64_t requesterSequence = 0; ///< of the ack to the requester
        TimePoint sentAt;
    };

    /// Applies an update of another instance unless a newer one is known. Refutes a wrong update of this instance.
    /// @return whether the known state of another instance changed
    bool applyUpdate(const MemberUpdate&, TimePoint now);
    /// Tells an instance that is wrongly held suspect or dead, so that it raises its incarnation.
    void notifyMisjudged(const MemberUpdate& sender, Effects&);
    /// Raises the incarnation of this instance if it is wrongly suspected or declared dead.
    void refute(const MemberUpdate&);
    /// Builds a message and attaches the recent changes that were sent in the fewest messages.
    PeerMessage makeMessage(PeerMessageKind, std::uint64_t sequence);
    void send(const std::string& address, PeerMessage, Effects&);
    /// Pings the next instance. Each round probes all instances once, in random order.
    void probeNext(TimePoint now, std::uint64_t entropy, Effects&);
    /// Asks other instances to ping the target if it has not answered in time.
    void advanceProbe(TimePoint now, std::uint64_t entropy, Effects&);
    /// Declares instances dead after the suspicion timeout, and removes dead ones and forwarded pings when they expire.
    void expireMembers(TimePoint now);
    /// @return the number of messages in which each change is sent
    std::uint32_t maxTransmissions() const;
    /// @return the number of other alive instances with a larger rendezvous weight for a key
    std::size_t rankOf(const std::string& key, bool sameDataCentre) const;

    const ReducerOptions& m_options;
    MemberUpdate m_self;
    std::map<InstanceId, Member> m_members; ///< all instances but this one
    std::vector<InstanceId> m_probeOrder; ///< instances yet to be probed in this round; the last one is next
    std::optional<Probe> m_probe;
    std::vector<ForwardedPing> m_forwardedPings;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_version = 1;
    TimePoint m_nextProbe; ///< time of the next probe
    TimePoint m_lastHeard;
};

} // namespace crocusmount
