#pragma once

#include "admission/FairQueue.h"
#include "admission/RetryBudget.h"
#include "crocusmount/ChainPicker.h"
#include "crocusmount/Configuration.h"
#include "crocusmount/Counters.h"
#include "crocusmount/Effect.h"
#include "crocusmount/Event.h"
#include "crocusmount/ReducerOptions.h"
#include "requests/AnswerCache.h"
#include "requests/ClaimLog.h"
#include "requests/PipelineStats.h"
#include "requests/Request.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <memory>

namespace crocusmount {

class BackendTable;

/// Handles each request from its arrival to its answer: admits or refuses it, queues it, claims its idempotency key,
/// dispatches it to a chain, verifies each token, resumes it on another chain after a failure, and answers it once.
class RequestTable {
public:
    RequestTable(const ReducerOptions&, const Configuration&, BackendTable&, Counters&, std::unique_ptr<ChainPicker>);

    /// Reasons for which this instance refuses all new requests.
    struct AdmissionState {
        bool draining = false; ///< the instance is leaving
        bool isolated = false; ///< the instance has reached neither the store nor a peer for too long
    };

    /// Answers, joins, refuses or queues a new request.
    void arrived(const event::RequestArrived&, const AdmissionState&, const Event&, Effects&);
    /// Removes a joined request. Cancels a request when its caller and those of all joined ones have left, unless it is
    /// running and not repeatable.
    void callerLeft(const event::CallerLeft&, TimePoint now, Effects&);
    /// Delivers a token. Drops a late or duplicated one and one that names another attempt. If a token is missing or
    /// the trace differs from the attempt's chain, cancels the attempt and retries or fails the request.
    void token(const event::TokenReceived&, TimePoint now, Effects&);
    /// Completes the request, or retries or fails it if the answer is truncated.
    void ended(const event::AttemptEnded&, TimePoint now, Effects&);
    /// Retries the request if its limits permit, else fails it.
    void failed(const event::AttemptFailed&, TimePoint now, Effects&);
    /// Continues the requests whose claims are decided by a read of the log.
    void claimsRead(const event::ClaimsRead&, TimePoint now, Effects&);
    /// Continues the requests whose claims are decided by a write to the log.
    void claimsAppended(const event::ClaimsAppended&, TimePoint now, Effects&);
    /// Checks deadlines and stalls, and starts store calls for claims that are due.
    void tick(TimePoint now, Effects&);
    /// Dispatches the queued requests for which a chain has capacity. Called once after every event, and cheap if
    /// neither a queue nor the capacity has changed.
    void dispatch(const Event&, Effects&);
    /// Called when a backend server or peer reported, so that queued requests may be dispatched now.
    void capacityMayHaveChanged() { unblockQueues(); }

    /// @return the number of unfinished requests, without those that joined another
    std::size_t openRequestCount() const { return m_requests.size(); }

private:
    /// The requests of one pipeline that wait for a chain.
    struct Queue {
        FairQueue waiting;
        bool isBlocked = false; ///< no chain had capacity for the first request, and no capacity has changed since
    };

    Request* find(RequestId);
    Request* findByAttempt(AttemptId);
    const Pipeline* pipelineOf(const Request&) const;
    std::uint32_t weightOf(const WorkspaceId&) const;
    /// @return why a request is refused regardless of load, or nothing if it may be queued
    std::optional<Reason> refusalReason(const RequestSpec&, const AdmissionState&) const;
    /// Answers a request with the cached answer to its key, or refuses it if the key was used for another request.
    /// @return whether the request was answered or refused
    bool replayAnswer(RequestId, const RequestSpec&, const std::string& keyHash, TimePoint now, Effects&);
    /// Joins a request to the unfinished one with its key, or refuses it if that one asks for another answer.
    /// @return whether the request was joined or refused
    bool joinByKey(RequestId, const RequestSpec&, const std::string& keyHash, Effects&);
    /// @param timeout     from now to the request's deadline
    /// @param retryAfter  set if the request is refused
    /// @return why the request is refused because of the load, or nothing if it may be queued
    std::optional<Reason> queueRefusalReason(
        const RequestSpec&, const Pipeline&, Duration timeout, Duration& retryAfter);
    /// Fails a request that was never stored.
    void refuse(RequestId, Reason, Duration retryAfter, Effects&);

    /// @param front  whether the request goes before the waiting ones of its workspace
    void enqueue(Request&, bool front);
    void startAttempt(Request&, Chain, TimePoint now, Effects&);
    void deliverToken(Request&, std::uint32_t index, const std::string& text, Effects&);
    /// Records the end of an attempt for backend load, slowness and the queues.
    void endAttempt(Request&, TimePoint now);
    /// Ends the attempt and queues the request again, or fails it if it may not run again or its limits are spent.
    /// @param failedBackend  the backend server at fault; if empty, later attempts avoid the whole chain unless the
    ///                       attempt was refused
    void retryOrFail(Request&, Reason, RunState, const BackendId& failedBackend, TimePoint now, Effects&);
    /// Completes the answer of a request and of those that joined it, and caches it by its key.
    void finish(Request&, TimePoint now, Effects&);
    /// Fails a request and those that joined it. Releases its claim if it did not run.
    /// @param retryAfter  time after which a caller may retry; 0: no hint
    void fail(Request&, Reason, Effects&, Duration retryAfter = Duration(0));
    /// Cancels the attempt in progress, if any, and fails the request.
    void cancel(Request&, Reason, TimePoint now, Effects&, Duration retryAfter = Duration(0));
    /// Removes a request, with those that joined it, from all tables and queues.
    void remove(Request&);
    /// Queues the requests that won their claim and fails the others.
    void applyClaimDecisions(const std::vector<ClaimDecision>&, Effects&);
    /// Dispatches requests of one queue until one finds no chain with capacity.
    void dispatchQueue(const Pipeline&, Queue&, const Event&, Effects&);
    /// Retries a repeatable request whose attempt has produced no token for too long, if it may have another attempt.
    void checkStall(Request&, TimePoint now, Effects&);
    /// @return the retry budget of a workspace, which is created on first use
    RetryBudget& budgetOf(const WorkspaceId&);
    /// @return whether the request may have run on a backend server, as reported to the caller
    RunState runStateOf(const Request&) const;
    /// @param ahead  number of requests before a new one
    /// @return the expected time in the queue; 0 if the throughput is unknown
    Duration estimatedWait(const PipelineId&, std::size_t ahead) const;
    /// Lets all queues try to dispatch again.
    void unblockQueues();

    const ReducerOptions& m_options;
    const Configuration& m_configuration;
    BackendTable& m_backends;
    Counters& m_counters;
    std::unique_ptr<ChainPicker> m_picker;
    ClaimLog m_claims;
    AnswerCache m_answerCache;
    RetryBudget m_retryBudget; ///< for all workspaces together
    std::map<WorkspaceId, RetryBudget> m_workspaceBudgets; ///< in addition to m_retryBudget
    std::map<PipelineId, Queue> m_queues;
    std::map<PipelineId, PipelineStats> m_stats;
    std::map<RequestId, Request> m_requests;
    absl::flat_hash_map<AttemptId, RequestId> m_attempts; ///< attempts in progress
    absl::flat_hash_map<std::string, RequestId> m_requestByKey; ///< unfinished requests, by hash of the key
    absl::flat_hash_map<RequestId, RequestId> m_primaryByJoined; ///< the request that each joined request waits for
    std::uint64_t m_nextAttempt = 1;
    TimePoint m_lastStallCheck;
    bool m_dispatchDue = false; ///< a request was queued or the capacity may have changed since the last dispatch
};

} // namespace crocusmount
