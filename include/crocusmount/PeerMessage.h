#pragma once

#include "crocusmount/BackendReport.h"
#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocusmount {

/// The state of an instance as another instance sees it. The order of the values matters, see MemberUpdate.
enum class MemberState {
    Alive,
    Suspect, ///< did not answer a ping; Dead unless it refutes this before a timeout
    Leaving, ///< drains its streams and receives no new callers
    Dead,
};

/// @return the name of the state in lower case, for logs and answers
const char* toString(MemberState);

/// Membership information on one instance. An update replaces another one if its incarnation is higher, or if the
/// incarnations are equal and its state is later in MemberState.
struct MemberUpdate {
    InstanceId instance;
    std::string peerAddress; ///< "ip:port" for datagrams and for the configuration
    std::string callerAddress; ///< "ip:port" for callers
    DataCentreId dataCentre;
    std::uint64_t incarnation = 0; ///< increased by the instance when it restarts, leaves or refutes a suspicion
    MemberState state = MemberState::Alive;
    Revision revision; ///< revision of its configuration in force
};

/// The state of a backend server as seen by an instance that probes it.
struct BackendNews {
    BackendReport report;
    bool reachable = true; ///< whether the server answers probes
    Duration age {}; ///< age of the report when this was sent
    std::uint64_t sequence = 0; ///< increases with each change of the state; a lower one than the known one is ignored
};

/// The type of a message between instances.
enum class PeerMessageKind {
    Ping, ///< asks the receiver for an Ack
    Ack,
    PingRequest, ///< asks the receiver to ping the target and to forward its Ack
    News, ///< carries updates and needs no answer
};

/// A datagram between instances. Messages of every kind can carry updates.
struct PeerMessage {
    PeerMessageKind kind = PeerMessageKind::Ping;
    MemberUpdate sender; ///< may lack the addresses if the receiver knows the sender
    std::uint64_t sequence = 0; ///< matches an Ack to its Ping or PingRequest
    InstanceId target; ///< instance to ping; only in a PingRequest
    std::vector<MemberUpdate> updates; ///< recent changes of the membership
    std::vector<BackendNews> backends; ///< states of backend servers
};

} // namespace crocusmount
