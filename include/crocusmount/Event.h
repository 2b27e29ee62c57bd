#pragma once

#include "crocusmount/BackendReport.h"
#include "crocusmount/Claim.h"
#include "crocusmount/ConfigurationChange.h"
#include "crocusmount/Ids.h"
#include "crocusmount/PeerMessage.h"
#include "crocusmount/Reason.h"
#include "crocusmount/RequestSpec.h"
#include "crocusmount/RunState.h"
#include "crocusmount/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Events: the inputs of the core. They are plain data without behaviour and are usually read together, so they share a
/// header (docs/decisions/0002-one-reducer.md).
namespace crocusmount::event {

/// A caller sent a request.
struct RequestArrived {
    RequestId request;
    RequestSpec spec;
};

/// A caller closed its connection before its answer was complete.
struct CallerLeft {
    RequestId request;
};

/// A frame with a token arrived from a backend server.
struct TokenReceived {
    AttemptId attempt; ///< attempt whose connection carried the frame
    AttemptId named; ///< attempt that the frame names
    std::uint32_t index = 0; ///< position of the token in the answer, from 0
    std::string text;
    std::string trace; ///< stages that computed the token, in the form of Chain::trace()
};

/// The stream of an attempt ended with an explicit end frame.
struct AttemptEnded {
    AttemptId attempt;
    std::uint32_t count = 0; ///< number of tokens of the whole answer, including those of earlier attempts
};

/// An attempt ended before its answer was complete.
struct AttemptFailed {
    AttemptId attempt;
    Reason reason = Reason::BackendError;
    RunState run = RunState::MayHaveRun;
    BackendId culprit; ///< backend server that caused the failure; empty if unknown
};

/// The result of effect::ReadClaims.
struct ClaimsRead {
    ShardId shard;
    bool available = false; ///< false if the store did not answer; the members below are then empty
    std::int64_t headRevision = 0; ///< store revision of the log's head; 0 if the shard's log is empty
    std::uint64_t headSequence = 0; ///< sequence number of the last batch
    std::vector<ClaimBatch> batches; ///< existing batches after ReadClaims::afterSequence, in order
};

/// The result of effect::AppendClaims.
struct ClaimsAppended {
    ShardId shard;
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::int64_t revision = 0; ///< store revision of the log's head after a committed write
};

/// A configuration or a change of it was read from the store or from another instance.
struct ConfigurationRead {
    ConfigurationChange change;
    bool fromStore = false; ///< true if read from the store, false if from another instance
};

/// A call to the store ended.
struct StoreSeen {
    bool available = false; ///< whether the store answered
};

/// A backend server answered a probe.
struct BackendReported {
    BackendReport report;
    TimePoint asked; ///< time at which the core requested the probe, see effect::ProbeBackend
};

/// A backend server did not answer a probe.
struct BackendUnreachable {
    BackendId backend;
};

/// A datagram arrived from another instance.
struct PeerMessageReceived {
    PeerMessage message;
};

/// A list of entry instances was read from the platform or from the seeds in the settings.
struct InstancesListed {
    std::vector<MemberUpdate> instances;
};

/// An operator or a signal asked this instance to drain its streams and exit.
struct DrainRequested { };

/// Time passed. The shell sends a tick every few milliseconds.
struct Tick { };

} // namespace crocusmount::event

namespace crocusmount {

/// The part of an event that depends on its type.
using EventBody = std::variant<event::RequestArrived, event::CallerLeft, event::TokenReceived, event::AttemptEnded,
    event::AttemptFailed, event::ClaimsRead, event::ClaimsAppended, event::ConfigurationRead, event::StoreSeen,
    event::BackendReported, event::BackendUnreachable, event::PeerMessageReceived, event::InstancesListed,
    event::DrainRequested, event::Tick>;

/// An input of the core. It carries the time and the random bits for its processing, as the core has no clock and no
/// random number generator.
struct Event {
    TimePoint now; ///< time of the event
    std::uint64_t entropy = 0; ///< random bits
    EventBody body;
};

} // namespace crocusmount
