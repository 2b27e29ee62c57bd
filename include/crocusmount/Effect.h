#pragma once

#include "crocusmount/Chain.h"
#include "crocusmount/Claim.h"
#include "crocusmount/Configuration.h"
#include "crocusmount/Ids.h"
#include "crocusmount/PeerMessage.h"
#include "crocusmount/Reason.h"
#include "crocusmount/RunState.h"
#include "crocusmount/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Effects: the actions that the core asks the shell to perform. They are plain data without behaviour.
namespace crocusmount::effect {

/// Starts an attempt to run a request on a chain.
struct StartAttempt {
    AttemptId attempt;
    RequestId request;
    Chain chain;
    std::string prompt; ///< prompt for a model, or the serialized call of a plain service
    std::uint32_t maxTokens = 0; ///< upper bound of the tokens of the whole answer, emitted ones included
    std::vector<std::string> emitted; ///< tokens already delivered to the caller; the attempt continues after them
    int priority = 0; ///< priority from the caller's request
    PipelineKind kind = PipelineKind::Generation;
    bool repeatable = true; ///< whether the request may run more than once
};

/// Closes the stream of an attempt so that every stage frees its resources.
struct CancelAttempt {
    AttemptId attempt;
};

/// Sends a token to the caller of a request.
struct DeliverToken {
    RequestId request;
    std::uint32_t index = 0; ///< position of the token in the answer, from 0
    std::string text;
};

/// Ends an answer whose tokens have all been delivered.
struct CompleteAnswer {
    RequestId request;
    std::uint32_t count = 0; ///< number of tokens of the answer
};

/// Ends the answer to a request that was refused or failed.
struct FailAnswer {
    RequestId request;
    Reason reason = Reason::BackendError;
    RunState run = RunState::MayHaveRun;
    Duration retryAfter {}; ///< time after which the caller may try again; 0 if a new try would not help
};

/// Reads the batches of a shard of the claim log.
struct ReadClaims {
    ShardId shard;
    std::uint64_t afterSequence = 0; ///< batches up to this sequence number are already known
};

/// Appends a batch to a shard of the claim log if the log's head has the expected revision.
struct AppendClaims {
    ShardId shard;
    std::int64_t expectedHeadRevision = 0; ///< 0 if the shard's log is expected to be empty
    std::uint64_t sequence = 0; ///< sequence number of the new batch
    std::uint64_t trimBelow = 0; ///< batches with lower sequence numbers have expired and may be deleted; 0 for none
    TimePoint writtenAt;
    std::vector<Claim> claims;
};

/// Requests a report from a backend server.
struct ProbeBackend {
    BackendId backend;
    std::string address; ///< "ip:port"
    TimePoint asked; ///< time of this effect; returned with the report, whose age is counted from here
};

/// Sends a datagram to another instance.
struct SendPeerMessage {
    std::string address; ///< "ip:port"
    PeerMessage message;
};

/// Fetches the configuration from another instance, which has a newer revision.
struct FetchConfiguration {
    std::string peerAddress; ///< "ip:port"
};

/// Starts or stops watching the configuration in the store.
struct FollowStore {
    bool follow = false; ///< true to start, false to stop
};

/// Reports that the drain is complete and the process may exit.
struct DrainFinished { };

} // namespace crocusmount::effect

namespace crocusmount {

/// One action for the shell.
using Effect = std::variant<effect::StartAttempt, effect::CancelAttempt, effect::DeliverToken, effect::CompleteAnswer,
    effect::FailAnswer, effect::ReadClaims, effect::AppendClaims, effect::ProbeBackend, effect::SendPeerMessage,
    effect::FetchConfiguration, effect::FollowStore, effect::DrainFinished>;

/// Actions in the order in which the shell performs them.
using Effects = std::vector<Effect>;

} // namespace crocusmount
