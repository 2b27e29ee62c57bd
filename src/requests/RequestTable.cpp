#include "requests/RequestTable.h"

#include "requests/KeyHash.h"
#include "routing/BackendTable.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <limits>

namespace crocusmount {

namespace {

    constexpr Duration MinRetryAfter = std::chrono::seconds(1);
    constexpr double UnlimitedHeadroom = std::numeric_limits<double>::infinity();
    constexpr std::size_t MaxAvoidedBackends = 16; ///< per request

    /// Lookups and service calls precede generations. Within a kind, resumed streams precede new requests, and then the
    /// caller's priority decides.
    /// @param hasStarted  whether the caller has already received tokens
    /// @return the rank in the queue; the highest goes first
    int queuePriority(const Pipeline& pipeline, int priority, bool hasStarted)
    {
        constexpr int kindPriority = 1000;
        constexpr int startedPriority = 500;
        const bool isUrgent = pipeline.kind != PipelineKind::Generation;
        return (isUrgent ? kindPriority : 0) + (hasStarted ? startedPriority : 0) + std::clamp(priority, -100, 100);
    }

    /// @return the number of tokens that a request may still produce, at least 1
    double remainingTokens(const Request& request)
    {
        const auto deliveredCount = static_cast<double>(request.deliveredTokens.size());
        return std::max(1.0, request.spec.maxTokens - deliveredCount);
    }

    /// @return whether two requests ask for equal answers, so that they may share an idempotency key
    bool isSameWork(const RequestSpec& a, const RequestSpec& b)
    {
        return a.pipeline == b.pipeline && a.prompt == b.prompt && a.maxTokens == b.maxTokens;
    }

    /// Adds a backend server to a request's avoided ones, unless it is listed already or the list is full.
    void addAvoided(std::vector<BackendId>& list, const BackendId& id)
    {
        if (std::find(list.begin(), list.end(), id) == list.end() && list.size() < MaxAvoidedBackends)
            list.push_back(id);
    }

    Duration toDuration(double micros) { return Duration(static_cast<std::int64_t>(micros)); }

} // namespace

RequestTable::RequestTable(const ReducerOptions& options, const Configuration& configuration, BackendTable& backends,
    Counters& counters, std::unique_ptr<ChainPicker> picker)
    : m_options(options)
    , m_configuration(configuration)
    , m_backends(backends)
    , m_counters(counters)
    , m_picker(std::move(picker))
    , m_claims(options, counters)
    , m_answerCache(options.answerRetention, options.answerMemoryLimit)
    , m_retryBudget(options.retryRatio, options.retryBurst)
{
}

Request* RequestTable::find(RequestId id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

Request* RequestTable::findByAttempt(AttemptId id)
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : find(found->second);
}

const Pipeline* RequestTable::pipelineOf(const Request& request) const
{
    const auto found = m_configuration.pipelines.find(request.spec.pipeline);
    return found == m_configuration.pipelines.end() ? nullptr : &found->second;
}

std::uint32_t RequestTable::weightOf(const WorkspaceId& id) const
{
    const auto found = m_configuration.workspaces.find(id);
    return found == m_configuration.workspaces.end() ? 1 : found->second.weight;
}

// ---- Arrival -------------------------------------------------------------------------------------------------------

std::optional<Reason> RequestTable::refusalReason(const RequestSpec& spec, const AdmissionState& admission) const
{
    if (admission.draining)
        return Reason::Draining;
    if (admission.isolated)
        return Reason::Isolated;
    const auto pipeline = m_configuration.pipelines.find(spec.pipeline);
    if (pipeline == m_configuration.pipelines.end())
        return Reason::UnknownPipeline;
    const auto workspace = m_configuration.workspaces.find(spec.workspace);
    if (workspace == m_configuration.workspaces.end()
        || !matches(pipeline->second.workspaceSelector, workspace->second.labels))
        return Reason::NotPermitted;
    if (!spec.repeatable && spec.idempotencyKey.empty())
        return Reason::KeyRequired;
    return std::nullopt;
}

void RequestTable::refuse(RequestId id, Reason reason, Duration retryAfter, Effects& effects)
{
    ++Counters::at(m_counters.refused, reason);
    effects.push_back(effect::FailAnswer { id, reason, RunState::NotRun, retryAfter });
}

bool RequestTable::replayAnswer(
    RequestId id, const RequestSpec& spec, const std::string& keyHash, TimePoint now, Effects& effects)
{
    const AnswerCache::Answer* answer = m_answerCache.find(keyHash, now);
    if (!answer)
        return false;
    if (!isSameWork(answer->spec, spec)) {
        refuse(id, Reason::KeyReused, Duration(0), effects);
        return true;
    }
    ++m_counters.replayed;
    std::uint32_t index = 0;
    for (const std::string& text : answer->tokens)
        effects.push_back(effect::DeliverToken { id, index++, text });
    effects.push_back(effect::CompleteAnswer { id, index });
    return true;
}

bool RequestTable::joinByKey(RequestId id, const RequestSpec& spec, const std::string& keyHash, Effects& effects)
{
    const auto found = m_requestByKey.find(keyHash);
    if (found == m_requestByKey.end())
        return false;
    Request& request = *find(found->second);
    if (!isSameWork(request.spec, spec)) {
        refuse(id, Reason::KeyReused, Duration(0), effects);
        return true;
    }
    ++m_counters.joined;
    request.joinedRequests.push_back(id);
    m_primaryByJoined[id] = request.id;
    for (std::uint32_t index = 0; index < request.deliveredTokens.size(); ++index)
        effects.push_back(effect::DeliverToken { id, index, request.deliveredTokens[index] });
    return true;
}

Duration RequestTable::estimatedWait(const PipelineId& pipeline, std::size_t ahead) const
{
    const auto stats = m_stats.find(pipeline);
    if (!ahead || stats == m_stats.end() || stats->second.completionsPerSecond <= 0)
        return Duration(0);
    return toDuration(1e6 * static_cast<double>(ahead) / stats->second.completionsPerSecond);
}

std::optional<Reason> RequestTable::queueRefusalReason(
    const RequestSpec& spec, const Pipeline& pipeline, Duration timeout, Duration& retryAfter)
{
    const FairQueue& waiting = m_queues[pipeline.id].waiting;
    if (waiting.size() >= m_options.queueLimit) {
        retryAfter = std::max(MinRetryAfter, estimatedWait(pipeline.id, waiting.size() / 2));
        return Reason::QueueFull;
    }
    const PipelineStats& stats = m_stats[pipeline.id];
    const Duration queueWait
        = estimatedWait(pipeline.id, waiting.aheadOf(spec.workspace, queuePriority(pipeline, spec.priority, false)));
    const Duration serviceTime = toDuration(stats.firstTokenMicros + stats.tokenGapMicros * (spec.maxTokens - 1));
    if (queueWait + serviceTime <= timeout)
        return std::nullopt;
    retryAfter = std::max(MinRetryAfter, queueWait + serviceTime - timeout);
    return Reason::DeadlineTooShort;
}

void RequestTable::arrived(
    const event::RequestArrived& arrival, const AdmissionState& admission, const Event& event, Effects& effects)
{
    ++m_counters.requests;
    const RequestSpec& spec = arrival.spec;
    if (const auto reason = refusalReason(spec, admission)) {
        const bool isTemporary = *reason == Reason::Draining || *reason == Reason::Isolated;
        return refuse(arrival.request, *reason, isTemporary ? MinRetryAfter : Duration(0), effects);
    }
    const std::string keyHash
        = spec.idempotencyKey.empty() ? std::string() : hashKey(spec.workspace, spec.idempotencyKey);
    if (!keyHash.empty()
        && (replayAnswer(arrival.request, spec, keyHash, event.now, effects)
            || joinByKey(arrival.request, spec, keyHash, effects)))
        return;
    const Pipeline& pipeline = m_configuration.pipelines.at(spec.pipeline);
    Request request;
    request.id = arrival.request;
    request.spec = spec;
    request.spec.maxTokens = std::clamp(spec.maxTokens, 1U, std::max(1U, pipeline.maxTokens));
    const Duration timeout
        = spec.timeout > Duration(0) ? spec.timeout : Duration(std::chrono::milliseconds(pipeline.deadlineMs));
    Duration retryAfter {};
    if (const auto reason = queueRefusalReason(request.spec, pipeline, timeout, retryAfter))
        return refuse(arrival.request, *reason, retryAfter, effects);
    m_retryBudget.addRequest();
    budgetOf(spec.workspace).addRequest();
    request.arrivedAt = event.now;
    request.deadline = event.now + timeout;
    request.keyHash = keyHash;
    request.nonce
        = absl::StrCat(m_options.self.instance.value(), "/", m_options.self.incarnation, "/", arrival.request.value());
    if (!keyHash.empty())
        m_requestByKey[keyHash] = request.id;
    Request& stored = m_requests.emplace(request.id, std::move(request)).first->second;
    enqueue(stored, false);
}

void RequestTable::callerLeft(const event::CallerLeft& event, TimePoint now, Effects& effects)
{
    RequestId primary = event.request;
    if (const auto joined = m_primaryByJoined.find(event.request); joined != m_primaryByJoined.end()) {
        primary = joined->second;
        m_primaryByJoined.erase(joined);
        std::erase(find(primary)->joinedRequests, event.request);
    } else if (Request* request = find(primary)) {
        request->hasCallerLeft = true;
    }
    Request* request = find(primary);
    if (!request || !request->hasCallerLeft || !request->joinedRequests.empty())
        return;
    // A non-repeatable request that is running continues, so that its caller can still get the answer by its key.
    if (!request->spec.repeatable && request->state == RequestState::Running)
        return;
    cancel(*request, Reason::CallerGone, now, effects);
}

void RequestTable::cancel(Request& request, Reason reason, TimePoint now, Effects& effects, Duration retryAfter)
{
    if (request.state == RequestState::Running) {
        effects.push_back(effect::CancelAttempt { request.attempt });
        endAttempt(request, now);
    }
    fail(request, reason, effects, retryAfter);
}

// ---- Dispatch ------------------------------------------------------------------------------------------------------

void RequestTable::enqueue(Request& request, bool front)
{
    request.state = RequestState::Queued;
    const Pipeline* pipeline = pipelineOf(request);
    const int priority = pipeline ? queuePriority(*pipeline, request.spec.priority, !request.deliveredTokens.empty())
                                  : request.spec.priority;
    Queue& queue = m_queues[request.spec.pipeline];
    const std::uint32_t weight = weightOf(request.spec.workspace);
    if (front)
        queue.waiting.pushFront(request.spec.workspace, weight, priority, request.id);
    else
        queue.waiting.push(request.spec.workspace, weight, priority, { request.id, remainingTokens(request) });
    queue.isBlocked = false;
    m_dispatchDue = true;
}

void RequestTable::unblockQueues()
{
    m_dispatchDue = true;
    for (auto& [id, queue] : m_queues)
        queue.isBlocked = false;
}

void RequestTable::dispatch(const Event& event, Effects& effects)
{
    if (!m_dispatchDue)
        return;
    m_dispatchDue = false;
    for (auto& [id, queue] : m_queues) {
        if (queue.waiting.empty() || queue.isBlocked)
            continue;
        const auto pipeline = m_configuration.pipelines.find(id);
        if (pipeline != m_configuration.pipelines.end())
            dispatchQueue(pipeline->second, queue, event, effects);
        else
            queue.isBlocked = true;
    }
}

void RequestTable::dispatchQueue(const Pipeline& pipeline, Queue& queue, const Event& event, Effects& effects)
{
    std::uint64_t entropy = event.entropy;
    while (const auto id = queue.waiting.pop()) {
        Request& request = *find(*id);
        const bool isUrgent = pipeline.kind != PipelineKind::Generation || !request.deliveredTokens.empty();
        const double headroom = isUrgent ? m_options.urgentHeadroom : m_options.streamHeadroom;
        const auto stages = m_backends.stagesFor(pipeline, event.now, request.avoidedBackends, headroom);
        auto chain = m_picker->pick(RouteQuery { pipeline.layers, stages, ++entropy, m_options.pickJitter });
        if (!chain) {
            const auto all = m_backends.stagesFor(pipeline, event.now, request.avoidedBackends, UnlimitedHeadroom);
            request.hasNoRoute = !ChainPicker::coversModel(RouteQuery { pipeline.layers, all });
            enqueue(request, true);
            queue.isBlocked = true;
            return;
        }
        const bool needsClaim = !request.spec.repeatable && !request.hasClaim && m_options.guards.claimBeforeDispatch;
        if (needsClaim) {
            request.state = RequestState::Claiming;
            m_claims.requestClaim(request.id, request.keyHash, request.nonce, event.now);
            std::vector<ClaimDecision> decisions;
            m_claims.advance(event.now, effects, decisions);
            applyClaimDecisions(decisions, effects);
            continue;
        }
        startAttempt(request, *std::move(chain), event.now, effects);
    }
}

void RequestTable::startAttempt(Request& request, Chain chain, TimePoint now, Effects& effects)
{
    request.state = RequestState::Running;
    request.attempt = AttemptId(m_nextAttempt++);
    request.chain = std::move(chain);
    request.attemptStartedAt = now;
    request.lastTokenAt = now;
    request.attemptTokens = 0;
    ++request.attempts;
    ++m_counters.attempts;
    if (!request.deliveredTokens.empty())
        ++m_counters.resumed;
    m_attempts[request.attempt] = request.id;
    m_backends.streamStarted(request.chain);
    effects.push_back(
        effect::StartAttempt { request.attempt, request.id, request.chain, request.spec.prompt, request.spec.maxTokens,
            request.deliveredTokens, request.spec.priority, pipelineOf(request)->kind, request.spec.repeatable });
}

// ---- Tokens --------------------------------------------------------------------------------------------------------

void RequestTable::deliverToken(Request& request, std::uint32_t index, const std::string& text, Effects& effects)
{
    ++m_counters.tokens;
    effects.push_back(effect::DeliverToken { request.id, index, text });
    for (const RequestId& joined : request.joinedRequests)
        effects.push_back(effect::DeliverToken { joined, index, text });
}

void RequestTable::token(const event::TokenReceived& event, TimePoint now, Effects& effects)
{
    Request* request = findByAttempt(event.attempt);
    if (!request) {
        ++m_counters.tokensWasted;
        ++Counters::at(m_counters.dropped, Reason::LateFrame);
        return;
    }
    if (event.named != event.attempt && m_options.guards.dropCrossedFrames) {
        ++m_counters.tokensWasted;
        ++Counters::at(m_counters.dropped, Reason::CrossedFrame);
        return;
    }
    if (event.index < request->deliveredTokens.size() && m_options.guards.dropDoubledFrames) {
        ++m_counters.tokensWasted;
        ++Counters::at(m_counters.dropped, Reason::DoubledFrame);
        return;
    }
    if (event.index > request->deliveredTokens.size() && m_options.guards.checkFrameOrder) {
        effects.push_back(effect::CancelAttempt { request->attempt });
        return retryOrFail(*request, Reason::IndexGap, RunState::MayHaveRun, BackendId(), now, effects);
    }
    if (event.trace != request->chain.trace() && m_options.guards.verifyTrace) {
        effects.push_back(effect::CancelAttempt { request->attempt });
        return retryOrFail(*request, Reason::TraceMismatch, RunState::MayHaveRun, BackendId(), now, effects);
    }
    PipelineStats& stats = m_stats[request->spec.pipeline];
    const auto gap = static_cast<double>((now - request->lastTokenAt).count());
    PipelineStats::updateAverage(request->attemptTokens ? stats.tokenGapMicros : stats.firstTokenMicros, gap);
    request->lastTokenAt = now;
    ++request->attemptTokens;
    request->deliveredTokens.push_back(event.text);
    deliverToken(*request, static_cast<std::uint32_t>(request->deliveredTokens.size() - 1), event.text, effects);
}

void RequestTable::ended(const event::AttemptEnded& event, TimePoint now, Effects& effects)
{
    Request* request = findByAttempt(event.attempt);
    if (!request) {
        ++Counters::at(m_counters.dropped, Reason::LateFrame);
        return;
    }
    if (event.count != request->deliveredTokens.size() && m_options.guards.checkEndCount)
        return retryOrFail(*request, Reason::Truncated, RunState::MayHaveRun, BackendId(), now, effects);
    endAttempt(*request, now);
    finish(*request, now, effects);
}

// ---- End of attempts -----------------------------------------------------------------------------------------------

void RequestTable::endAttempt(Request& request, TimePoint now)
{
    m_attempts.erase(request.attempt);
    m_backends.streamEnded(request.chain);
    const PipelineStats& stats = m_stats[request.spec.pipeline];
    if (request.attemptTokens > 1 && stats.tokenGapMicros > 0) {
        const double meanGapMicros
            = static_cast<double>((now - request.attemptStartedAt).count()) / request.attemptTokens;
        m_backends.observeSlowness(request.chain, meanGapMicros / stats.tokenGapMicros);
    }
    unblockQueues();
}

void RequestTable::failed(const event::AttemptFailed& event, TimePoint now, Effects& effects)
{
    Request* request = findByAttempt(event.attempt);
    if (!request) {
        ++Counters::at(m_counters.dropped, Reason::LateFrame);
        return;
    }
    retryOrFail(*request, event.reason, event.run, event.culprit, now, effects);
}

void RequestTable::retryOrFail(
    Request& request, Reason reason, RunState run, const BackendId& failedBackend, TimePoint now, Effects& effects)
{
    ++Counters::at(m_counters.retried, reason);
    endAttempt(request, now);
    request.state = RequestState::Queued;
    const bool didNotRun = run == RunState::NotRun && !request.attemptTokens;
    request.mayHaveRun = request.mayHaveRun || !didNotRun;
    if (failedBackend != BackendId()) {
        addAvoided(request.avoidedBackends, failedBackend);
        if (reason != Reason::RefusedByBackend)
            m_backends.suspect(failedBackend);
    } else if (reason != Reason::RefusedByBackend) {
        for (const Hop& hop : request.chain.hops())
            addAvoided(request.avoidedBackends, hop.backend);
    }
    for (const Hop& hop : request.chain.hops())
        effects.push_back(effect::ProbeBackend { hop.backend, hop.address, now });
    const bool mayRunAgain = request.spec.repeatable || didNotRun || !m_options.guards.keepNonRepeatable;
    if (!mayRunAgain)
        return fail(request, Reason::NotRepeatable, effects);
    if (request.attempts >= m_options.maxAttempts)
        return fail(request, Reason::RetriesSpent, effects, MinRetryAfter);
    RetryBudget& workspaceBudget = budgetOf(request.spec.workspace);
    if (!workspaceBudget.hasToken() || !m_retryBudget.hasToken())
        return fail(request, Reason::RetryBudgetSpent, effects, MinRetryAfter);
    workspaceBudget.spend();
    m_retryBudget.spend();
    enqueue(request, true);
}

RetryBudget& RequestTable::budgetOf(const WorkspaceId& workspace)
{
    return m_workspaceBudgets.try_emplace(workspace, m_options.retryRatio, m_options.retryBurst).first->second;
}

void RequestTable::finish(Request& request, TimePoint now, Effects& effects)
{
    const auto count = static_cast<std::uint32_t>(request.deliveredTokens.size());
    PipelineStats& stats = m_stats[request.spec.pipeline];
    if (stats.lastCompletionAt != TimePoint() && now > stats.lastCompletionAt) {
        const double intervalMicros = static_cast<double>((now - stats.lastCompletionAt).count());
        PipelineStats::updateAverage(stats.completionsPerSecond, std::min(1e4, 1e6 / intervalMicros));
    }
    stats.lastCompletionAt = now;
    m_counters.completed += 1 + request.joinedRequests.size();
    effects.push_back(effect::CompleteAnswer { request.id, count });
    for (const RequestId& joined : request.joinedRequests)
        effects.push_back(effect::CompleteAnswer { joined, count });
    if (!request.keyHash.empty())
        m_answerCache.store(request.keyHash, { request.spec, std::move(request.deliveredTokens) }, now);
    remove(request);
}

RunState RequestTable::runStateOf(const Request& request) const
{
    if (!m_options.guards.truthfulRunState)
        return RunState::NotRun;
    const bool mayHaveRun = request.mayHaveRun || request.state == RequestState::Running;
    return mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
}

void RequestTable::fail(Request& request, Reason reason, Effects& effects, Duration retryAfter)
{
    const RunState run = runStateOf(request);
    if (request.state == RequestState::Claiming)
        m_claims.withdraw(request.id);
    if (request.hasClaim && run == RunState::NotRun)
        m_claims.release(request.keyHash, request.nonce);
    ++Counters::at(m_counters.refused, reason);
    effects.push_back(effect::FailAnswer { request.id, reason, run, retryAfter });
    for (const RequestId& joined : request.joinedRequests)
        effects.push_back(effect::FailAnswer { joined, reason, run, retryAfter });
    remove(request);
}

void RequestTable::remove(Request& request)
{
    for (const RequestId& joined : request.joinedRequests)
        m_primaryByJoined.erase(joined);
    if (!request.keyHash.empty())
        m_requestByKey.erase(request.keyHash);
    if (request.state == RequestState::Queued)
        m_queues[request.spec.pipeline].waiting.erase(request.id);
    m_requests.erase(request.id);
}

// ---- Claims --------------------------------------------------------------------------------------------------------

void RequestTable::applyClaimDecisions(const std::vector<ClaimDecision>& decisions, Effects& effects)
{
    for (const ClaimDecision& decision : decisions) {
        Request* request = find(decision.request);
        if (!request || request->state != RequestState::Claiming)
            continue;
        if (decision.result == ClaimResult::Won) {
            request->hasClaim = true;
            enqueue(*request, true);
            continue;
        }
        request->state = RequestState::Queued;
        if (decision.result == ClaimResult::Taken) {
            // The request may have run on the instance that has the key, but not on this one.
            request->mayHaveRun = true;
            fail(*request, Reason::KeyClaimed, effects);
        } else {
            fail(*request, Reason::StoreUnavailable, effects, MinRetryAfter);
        }
    }
}

void RequestTable::claimsRead(const event::ClaimsRead& event, TimePoint now, Effects& effects)
{
    std::vector<ClaimDecision> decisions;
    m_claims.applyRead(event, now, decisions);
    m_claims.advance(now, effects, decisions);
    applyClaimDecisions(decisions, effects);
}

void RequestTable::claimsAppended(const event::ClaimsAppended& event, TimePoint now, Effects& effects)
{
    std::vector<ClaimDecision> decisions;
    m_claims.applyAppend(event, now, decisions);
    m_claims.advance(now, effects, decisions);
    applyClaimDecisions(decisions, effects);
}

// ---- Time ----------------------------------------------------------------------------------------------------------

void RequestTable::checkStall(Request& request, TimePoint now, Effects& effects)
{
    const PipelineStats& stats = m_stats[request.spec.pipeline];
    const Duration typicalStall
        = toDuration(m_options.stallFactor * (request.attemptTokens ? stats.tokenGapMicros : stats.firstTokenMicros));
    const Duration limit
        = std::max(request.attemptTokens ? m_options.minStall : m_options.firstTokenStall, typicalStall);
    // The backend server may still answer, so an attempt ends only for another one.
    const bool mayRetry = request.spec.repeatable && request.attempts < m_options.maxAttempts
        && budgetOf(request.spec.workspace).hasToken() && m_retryBudget.hasToken();
    if (now - request.lastTokenAt < limit || !mayRetry)
        return;
    effects.push_back(effect::CancelAttempt { request.attempt });
    retryOrFail(request, Reason::Stalled, RunState::MayHaveRun, BackendId(), now, effects);
}

void RequestTable::tick(TimePoint now, Effects& effects)
{
    std::vector<ClaimDecision> decisions;
    m_claims.advance(now, effects, decisions);
    applyClaimDecisions(decisions, effects);
    constexpr Duration checkInterval = std::chrono::milliseconds(50);
    if (now - m_lastStallCheck < checkInterval)
        return;
    m_lastStallCheck = now;
    unblockQueues();
    for (auto next = m_requests.begin(); next != m_requests.end();) {
        Request& request = next->second;
        ++next; // The calls below may remove this request, but no other.
        if (now >= request.deadline) {
            cancel(request, request.hasNoRoute ? Reason::NoRoute : Reason::DeadlinePassed, now, effects, MinRetryAfter);
        } else if (request.state == RequestState::Running) {
            checkStall(request, now, effects);
        }
    }
}

} // namespace crocusmount
