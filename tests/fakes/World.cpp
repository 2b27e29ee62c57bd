#include "tests/fakes/World.h"

#include "standins/KnownText.h"

#include <absl/strings/str_cat.h>

namespace crocusmount {

namespace {

    /// How long a leaving backend server may still get new work.
    constexpr Duration LeavingGrace = std::chrono::seconds(3);
    /// From a configuration's acceptance until every reachable entry instance must use it.
    constexpr Duration ForceLimit = std::chrono::seconds(5);
    constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);
    constexpr Duration StageTimeout = std::chrono::milliseconds(100);
    constexpr std::uint64_t DatagramHeader = 28; ///< bytes of the IPv4 and UDP headers
    const std::string badText = "BAD ";

} // namespace

World::World(Options options)
    : m_options(std::move(options))
    , m_store(m_clock)
    , m_random(m_options.seed)
{
    for (std::uint32_t i = 0; i < m_options.entries; ++i)
        m_entries.push_back(std::make_unique<Entry>());
}

World::~World() = default;

std::size_t World::addEngine(const std::string& id, const std::string& model, LayerRange layers, std::uint32_t slots,
    std::int64_t stepMicros, const Labels& labels)
{
    BackendReport report { BackendId(id), model, layers, Generation(1), slots, stepMicros, 0, false };
    m_engineIndex[report.backend] = m_engines.size();
    m_engines.push_back(std::make_unique<FakeEngine>(report));
    std::string text;
    for (const auto& [label, value] : labels)
        absl::StrAppend(&text, text.empty() ? "" : ",", "\"", label, "\":\"", value, "\"");
    addObject("backends/" + id, absl::StrCat(R"({"address":"10.9.0.1:1","dataCentre":"dc1","labels":{)", text, "}}"));
    return m_engines.size() - 1;
}

void World::addObject(const std::string& key, const std::string& json)
{
    m_initial.push_back({ key, json, Revision() });
}

void World::start()
{
    accept(m_store.writeConfiguration(Revision(), m_initial));
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        startEntry(i);
}

void World::startEntry(std::size_t index)
{
    Entry& entry = *m_entries[index];
    entry.options = m_options.core;
    MemberUpdate& self = entry.options.self;
    self.instance = InstanceId(absl::StrCat("e", index));
    self.peerAddress = absl::StrCat("10.0.0.", index, ":2");
    self.callerAddress = absl::StrCat("10.0.0.", index, ":1");
    self.dataCentre = DataCentreId(absl::StrCat("dc", index % m_options.dataCentres));
    self.incarnation = ++entry.incarnation * 1000;
    entry.reducer = *Reducer::make(entry.options);
    entry.alive = true;
    entry.draining = false;
    entry.following = false;
    entry.pausedUntil = TimePoint();
    entry.connectedSince = m_clock.now();
    entry.held.clear();
    entry.requests.clear();
    entry.seen = Revision();
    event::InstancesListed seeds;
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        MemberUpdate seed;
        seed.instance = InstanceId(absl::StrCat("e", other));
        seed.peerAddress = absl::StrCat("10.0.0.", other, ":2");
        seed.callerAddress = absl::StrCat("10.0.0.", other, ":1");
        seed.dataCentre = DataCentreId(absl::StrCat("dc", other % m_options.dataCentres));
        seeds.instances.push_back(seed);
    }
    post(index, seeds);
    tickEntry(index, entry.incarnation);
}

void World::tickEntry(std::size_t index, std::uint64_t incarnation)
{
    Entry& entry = *m_entries[index];
    if (!entry.alive || entry.incarnation != incarnation)
        return;
    if (m_clock.now() >= entry.pausedUntil)
        post(index, event::Tick {});
    m_clock.after(m_options.tick, [this, index, incarnation] { tickEntry(index, incarnation); });
}

// ---- Events and effects --------------------------------------------------------------------------------------------

void World::post(std::size_t index, EventBody body)
{
    Entry& entry = *m_entries[index];
    if (!entry.alive)
        return;
    if (m_clock.now() < entry.pausedUntil) {
        entry.held.push_back(std::move(body));
        return;
    }
    feed(index, std::move(body));
}

void World::feed(std::size_t index, EventBody body)
{
    Entry& entry = *m_entries[index];
    Effects effects;
    entry.reducer->reduce(Event { m_clock.now(), m_random(), std::move(body) }, effects);
    checkRevision(index);
    for (const Effect& effect : effects) {
        if (!entry.alive)
            return;
        std::visit([&](const auto& each) { run(index, each); }, effect);
    }
}

void World::toEntry(const Attempt& attempt, EventBody body)
{
    const std::size_t entry = attempt.entry;
    const std::uint64_t incarnation = attempt.incarnation;
    m_clock.after(m_options.linkLatency, [this, entry, incarnation, body = std::move(body)] {
        if (m_entries[entry]->incarnation == incarnation)
            post(entry, body);
    });
}

FakeEngine* World::find(const BackendId& id, std::size_t* index)
{
    const auto found = m_engineIndex.find(id);
    if (found == m_engineIndex.end())
        return nullptr;
    if (index)
        *index = found->second;
    return m_engines[found->second].get();
}

void World::run(std::size_t index, const effect::StartAttempt& start)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->entry = index;
    attempt->incarnation = m_entries[index]->incarnation;
    attempt->start = start;
    attempt->next = static_cast<std::uint32_t>(start.emitted.size());
    const CallerView* view = viewOf(index, start.request);
    attempt->work = view && !view->spec.repeatable ? "once:" + view->spec.idempotencyKey : "";
    m_attempts[{ index, attempt->incarnation, start.attempt }] = attempt;
    m_clock.after(m_options.linkLatency, [this, attempt] { prepare(attempt); });
}

void World::prepare(const std::shared_ptr<Attempt>& attempt)
{
    if (attempt->over)
        return;
    const std::vector<Hop>& hops = attempt->start.chain.hops();
    const auto refuse = [&](Reason reason, const BackendId& culprit) {
        endAttempt(attempt, event::AttemptFailed { attempt->start.attempt, reason, RunState::NotRun, culprit });
    };
    for (const Hop& hop : hops) {
        std::size_t index = 0;
        FakeEngine* engine = find(hop.backend, &index);
        if (!engine || !engine->alive())
            return refuse(&hop == &hops.front() ? Reason::ConnectFailed : Reason::RefusedByBackend, hop.backend);
        if (!engine->holds(hop) || engine->faults().refuse) {
            engine->faults().refuse -= engine->faults().refuse ? 1 : 0;
            return refuse(Reason::RefusedByBackend, hop.backend);
        }
        if (engine->leaving() && m_clock.now() - engine->leavingSince() > LeavingGrace)
            violate("a leaving server got new work: " + hop.backend.value());
        attempt->engines.push_back(index);
    }
    for (const std::size_t engine : attempt->engines)
        ++m_engines[engine]->report().running;
    ++m_ledger[attempt->start.prompt];
    if (!attempt->work.empty() && ++m_onceRuns[attempt->work] > 1)
        violate("ran twice: " + attempt->work);
    step(attempt, 0);
}

void World::endAttempt(const std::shared_ptr<Attempt>& attempt, EventBody body)
{
    close(attempt);
    toEntry(*attempt, std::move(body));
}

/// Ends the attempt and releases its engines.
void World::close(const std::shared_ptr<Attempt>& attempt)
{
    attempt->over = true;
    for (const std::size_t engine : attempt->engines) {
        std::uint32_t& running = m_engines[engine]->report().running;
        running -= running ? 1 : 0;
    }
    m_attempts.erase({ attempt->entry, attempt->incarnation, attempt->start.attempt });
}

void World::step(const std::shared_ptr<Attempt>& attempt, std::size_t hop)
{
    if (attempt->over)
        return;
    const AttemptId id = attempt->start.attempt;
    FakeEngine& engine = *m_engines[attempt->engines[hop]];
    const BackendId name = engine.report().backend;
    if (!engine.alive()) {
        const Reason reason = hop ? Reason::StageFailed : Reason::ConnectionLost;
        m_clock.after(hop ? StageTimeout : Duration(0), [this, attempt, id, reason, name] {
            if (!attempt->over)
                endAttempt(attempt, event::AttemptFailed { id, reason, RunState::MayHaveRun, name });
        });
        return;
    }
    const TimePoint done = engine.runStep(m_clock.now());
    const Generation generation = engine.report().generation;
    m_clock.at(done + m_options.linkLatency, [this, attempt, hop, &engine, generation] {
        if (attempt->over)
            return;
        if (!engine.alive() || engine.report().generation != generation) {
            const Reason reason = hop ? Reason::StageFailed : Reason::ConnectionLost;
            endAttempt(attempt,
                event::AttemptFailed { attempt->start.attempt, reason, RunState::MayHaveRun, engine.report().backend });
        } else if (hop + 1 < attempt->engines.size()) {
            step(attempt, hop + 1);
        } else {
            emitToken(attempt);
        }
    });
}

void World::emitToken(const std::shared_ptr<Attempt>& attempt)
{
    ++m_tokensMade;
    const AttemptId id = attempt->start.attempt;
    const std::uint32_t index = attempt->next++;
    FakeEngine::Faults& faults = m_engines[attempt->engines.front()]->faults();
    const auto use = [](std::uint32_t& count) { return count ? count-- > 0 : false; };
    event::TokenReceived token { id, id, index, knownToken(attempt->start.prompt, index),
        attempt->start.chain.trace() };
    if (use(faults.cross)) {
        event::TokenReceived other = token;
        other.named = AttemptId(id.value() + 1000000);
        other.text = badText;
        toEntry(*attempt, other);
    }
    if (use(faults.wrongTrace)) {
        token.trace = formatTraceEntry(BackendId("nobody"), { 0, 1 }, Generation(1));
        token.text = badText;
    }
    if (!use(faults.gap))
        toEntry(*attempt, token);
    if (use(faults.duplicate))
        toEntry(*attempt, token);
    const bool last = attempt->next >= attempt->start.maxTokens;
    if (last || use(faults.truncate)) {
        if (use(faults.late))
            m_clock.after(std::chrono::milliseconds(50), [this, attempt, token] { toEntry(*attempt, token); });
        endAttempt(attempt, event::AttemptEnded { id, attempt->start.maxTokens });
        return;
    }
    step(attempt, 0);
}

void World::run(std::size_t index, const effect::CancelAttempt& cancel)
{
    const auto found = m_attempts.find({ index, m_entries[index]->incarnation, cancel.attempt });
    if (found != m_attempts.end())
        close(std::shared_ptr<Attempt>(found->second));
}

CallerView* World::viewOf(std::size_t entry, RequestId id)
{
    const auto found = m_entries[entry]->requests.find(id);
    return found == m_entries[entry]->requests.end() ? nullptr : m_requests[found->second].get();
}

void World::run(std::size_t index, const effect::DeliverToken& token)
{
    CallerView* view = viewOf(index, token.request);
    if (!view)
        return violate("a token for nobody");
    if (view->left)
        return;
    if (view->done())
        return violate("a token after the final answer");
    if (token.index != view->tokens)
        violate(absl::StrCat("token ", token.index, " where ", view->tokens, " was next"));
    if (token.text != knownToken(view->prompt, token.index))
        violate(absl::StrCat("wrong token at ", token.index, ": ", token.text));
    const TimePoint now = m_clock.now();
    if (view->tokens)
        view->longestGap = std::max(view->longestGap, now - view->lastToken);
    else
        view->firstToken = now;
    view->lastToken = now;
    ++view->tokens;
}

void World::run(std::size_t index, const effect::CompleteAnswer& answer)
{
    CallerView* view = viewOf(index, answer.request);
    if (view && view->left)
        return;
    if (!view || view->done())
        return violate("a second final answer");
    if (view->tokens != view->spec.maxTokens || answer.count != view->tokens)
        violate(absl::StrCat("complete with ", view->tokens, " of ", view->spec.maxTokens, " tokens"));
    view->completed = true;
    view->ended = m_clock.now();
}

void World::run(std::size_t index, const effect::FailAnswer& failure)
{
    CallerView* view = viewOf(index, failure.request);
    if (view && view->left)
        return;
    if (!view || view->done())
        return violate("a second final answer");
    view->failed = true;
    view->reason = failure.reason;
    view->run = failure.run;
    view->ended = m_clock.now();
    if (failure.run == RunState::NotRun && m_ledger.contains(view->prompt) && view->spec.idempotencyKey.empty())
        violate(absl::StrCat("said not run, but it ran: ", toString(failure.reason)));
    if (failure.run == RunState::NotRun && view->tokens)
        violate("said not run after a token");
}

void World::run(std::size_t index, const effect::ReadClaims& read)
{
    const std::uint64_t incarnation = m_entries[index]->incarnation;
    m_store.read(read, [=, this](EventBody body) {
        if (m_entries[index]->incarnation == incarnation)
            post(index, std::move(body));
    });
}

void World::run(std::size_t index, const effect::AppendClaims& append)
{
    const std::uint64_t incarnation = m_entries[index]->incarnation;
    m_store.append(append, [=, this](EventBody body) {
        if (m_entries[index]->incarnation == incarnation)
            post(index, std::move(body));
    });
}

void World::run(std::size_t index, const effect::ProbeBackend& probe)
{
    FakeEngine* engine = find(probe.backend);
    const std::uint64_t incarnation = m_entries[index]->incarnation;
    const auto reply = [this, index, incarnation](EventBody body) {
        if (m_entries[index]->incarnation == incarnation)
            post(index, std::move(body));
    };
    if (!engine || !engine->alive()) {
        m_clock.after(m_options.linkLatency, [=] { reply(event::BackendUnreachable { probe.backend }); });
        return;
    }
    if (engine->paused(m_clock.now())) {
        m_clock.after(ProbeTimeout, [=] { reply(event::BackendUnreachable { probe.backend }); });
        return;
    }
    // The report is stale by reportLag when it arrives.
    const BackendReport report = engine->report();
    m_clock.after(m_options.reportLag, [=] { reply(event::BackendReported { report, probe.asked }); });
}

std::size_t World::entryByPeerAddress(const std::string& address) const
{
    const std::string prefix = "10.0.0.";
    return std::stoul(address.substr(prefix.size()));
}

Duration World::between(std::size_t a, std::size_t b) const
{
    const bool near = a % m_options.dataCentres == b % m_options.dataCentres;
    return near ? m_options.linkLatency / 2 : m_options.linkLatency;
}

void World::run(std::size_t index, const effect::SendPeerMessage& send)
{
    const std::size_t target = entryByPeerAddress(send.address);
    ++m_peerMessages;
    if (m_options.sizeOf)
        m_peerBytes += m_options.sizeOf(send.message) + DatagramHeader;
    const bool lost = m_options.peerLoss > 0 && static_cast<double>(m_random() % 10000) < m_options.peerLoss * 10000;
    const TimePoint now = m_clock.now();
    if (lost || target >= m_entries.size() || now < m_entries[index]->cutUntil || now < m_entries[target]->cutUntil)
        return;
    m_clock.after(between(index, target),
        [this, target, message = send.message] { post(target, event::PeerMessageReceived { message }); });
}

void World::run(std::size_t index, const effect::FetchConfiguration& fetch)
{
    const std::size_t target = entryByPeerAddress(fetch.peerAddress);
    const TimePoint now = m_clock.now();
    if (target >= m_entries.size() || now < m_entries[index]->cutUntil || now < m_entries[target]->cutUntil)
        return;
    const Revision since = m_entries[index]->reducer->configuration().revision;
    m_clock.after(between(index, target) * 2, [this, index, target, since] {
        const Entry& peer = *m_entries[target];
        if (peer.alive && m_clock.now() >= peer.pausedUntil) {
            ConfigurationChange change = peer.reducer->configurationSince(since);
            for (const ConfigurationEntry& each : change.entries)
                m_configurationBytes += each.key.size() + each.value.size();
            post(index, event::ConfigurationRead { std::move(change), false });
        }
    });
}

void World::readConfiguration(std::size_t index)
{
    const bool reachable = !m_store.down() && m_clock.now() >= m_entries[index]->cutUntil;
    post(index, event::StoreSeen { reachable });
    if (!reachable)
        return;
    const event::ConfigurationRead read { m_store.configuration(), true };
    const Duration delay = m_store.takeReadDelay();
    if (delay == Duration(0))
        return post(index, read);
    const std::uint64_t incarnation = m_entries[index]->incarnation;
    m_clock.after(delay, [=, this] {
        if (m_entries[index]->incarnation == incarnation)
            post(index, read);
    });
}

void World::run(std::size_t index, const effect::FollowStore& follow)
{
    Entry& entry = *m_entries[index];
    entry.following = follow.follow;
    if (follow.follow)
        m_clock.after(std::chrono::milliseconds(3), [this, index] { readConfiguration(index); });
}

void World::run(std::size_t index, const effect::DrainFinished&)
{
    Entry& entry = *m_entries[index];
    for (const auto& [id, number] : entry.requests) {
        if (!m_requests[number]->done())
            violate("a drain cut a request off");
    }
    killEntry(index);
}

// ---- Callers, operators, faults ------------------------------------------------------------------------------------

std::size_t World::send(std::size_t index, RequestSpec spec)
{
    Entry& entry = *m_entries[index];
    auto view = std::make_unique<CallerView>();
    view->entry = index;
    view->spec = spec;
    view->prompt = spec.prompt;
    view->sent = m_clock.now();
    const std::size_t number = m_requests.size();
    m_requests.push_back(std::move(view));
    if (!entry.alive) {
        m_requests[number]->cut = true;
        return number;
    }
    const RequestId id(entry.nextRequest++);
    entry.requests[id] = number;
    post(index, event::RequestArrived { id, std::move(spec) });
    return number;
}

void World::leave(std::size_t number)
{
    CallerView& view = *m_requests[number];
    if (view.done())
        return;
    for (auto& [id, each] : m_entries[view.entry]->requests) {
        if (each == number)
            post(view.entry, event::CallerLeft { id });
    }
    view.left = true;
}

void World::accept(Revision revision)
{
    if (revision == Revision())
        return;
    m_accepted.push_back({ revision, m_clock.now() });
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i]->alive && m_entries[i]->following)
            m_clock.after(std::chrono::milliseconds(3), [this, i] { readConfiguration(i); });
    }
}

bool World::writeObject(const std::string& key, const std::string& json)
{
    const Revision revision = m_store.writeConfiguration(m_store.revision(), { { key, json, Revision() } });
    accept(revision);
    return revision != Revision();
}

void World::raceOperators(const std::string& key, const std::string& first, const std::string& second)
{
    const Revision base = m_store.revision();
    const Revision one = m_store.writeConfiguration(base, { { key, first, Revision() } });
    const Revision two = m_store.writeConfiguration(base, { { key, second, Revision() } });
    if (one != Revision() && two != Revision())
        violate("two operators won over the same base");
    accept(one);
    accept(two);
}

void World::killEntry(std::size_t index)
{
    Entry& entry = *m_entries[index];
    if (!entry.alive)
        return;
    entry.alive = false;
    for (const auto& [id, number] : entry.requests) {
        if (!m_requests[number]->done())
            m_requests[number]->cut = true;
    }
    const Counters counters = entry.reducer->counters();
    m_buried.claimWrites += counters.claimWrites;
    m_buried.claimReads += counters.claimReads;
    m_buried.attempts += counters.attempts;
    m_buried.tokens += counters.tokens;
    m_buried.tokensWasted += counters.tokensWasted;
    for (auto next = m_attempts.begin(); next != m_attempts.end();) {
        const auto attempt = next->second;
        ++next;
        if (attempt->entry == index)
            run(index, effect::CancelAttempt { attempt->start.attempt });
    }
    ++entry.incarnation; // Events in flight to the dead instance must not reach its successor.
}

void World::restartEntry(std::size_t index)
{
    killEntry(index);
    startEntry(index);
}

void World::pauseEntry(std::size_t index, Duration span)
{
    Entry& entry = *m_entries[index];
    if (!entry.alive || m_clock.now() < entry.pausedUntil)
        return;
    entry.pausedUntil = m_clock.now() + span;
    const std::uint64_t incarnation = entry.incarnation;
    m_clock.at(entry.pausedUntil, [this, index, incarnation] {
        Entry& woken = *m_entries[index];
        if (!woken.alive || woken.incarnation != incarnation)
            return;
        woken.connectedSince = m_clock.now();
        for (EventBody& body : std::exchange(woken.held, {}))
            post(index, std::move(body));
    });
}

void World::drainEntry(std::size_t index)
{
    m_entries[index]->draining = true;
    post(index, event::DrainRequested {});
}

void World::cutPeers(std::size_t index, Duration span)
{
    Entry& entry = *m_entries[index];
    entry.cutUntil = std::max(entry.cutUntil, m_clock.now() + span);
    entry.connectedSince = entry.cutUntil;
    m_clock.at(entry.cutUntil, [this, index] {
        if (m_entries[index]->following)
            readConfiguration(index);
    });
}

void World::advance(Duration span)
{
    const TimePoint end = m_clock.now() + span;
    constexpr Duration checkInterval = std::chrono::seconds(1);
    while (m_clock.now() < end) {
        m_clock.advanceTo(std::min(end, m_clock.now() + checkInterval));
        // Simulates the watch of the store's client, which checks the head periodically.
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (m_entries[i]->alive && m_entries[i]->following)
                readConfiguration(i);
        }
        if (m_options.checkForce)
            checkForce();
    }
}

// ---- Promises -----------------------------------------------------------------------------------------------------

void World::violate(const std::string& what)
{
    if (m_violation.empty())
        m_violation = absl::StrCat(what, " at ", m_clock.now().time_since_epoch().count());
}

void World::checkRevision(std::size_t index)
{
    Entry& entry = *m_entries[index];
    const Revision revision = entry.reducer->configuration().revision;
    if (revision < entry.seen)
        violate(absl::StrCat("configuration went back at e", index));
    for (const Accepted& accepted : m_accepted) {
        if (accepted.revision > entry.seen && accepted.revision <= revision)
            m_forceTimes.push_back(m_clock.now() - accepted.at);
    }
    entry.seen = revision;
}

std::size_t World::followers() const
{
    std::size_t count = 0;
    for (const auto& entry : m_entries)
        count += entry->alive && entry->following ? 1 : 0;
    return count;
}

void World::checkForce()
{
    const TimePoint now = m_clock.now();
    if (m_store.down())
        return;
    Revision due;
    for (const Accepted& accepted : m_accepted) {
        if (now - std::max(accepted.at, m_store.upSince()) > ForceLimit)
            due = std::max(due, accepted.revision);
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const Entry& entry = *m_entries[i];
        const bool reachable = entry.alive && now >= entry.pausedUntil && now - entry.connectedSince > ForceLimit * 3;
        if (reachable && entry.reducer->configuration().revision < due)
            violate(absl::StrCat("configuration is not in force at e", i));
    }
}

void World::checkSettled()
{
    for (const auto& view : m_requests) {
        if (!view->done())
            violate("a request without a final answer");
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i]->alive && m_entries[i]->reducer->openRequests())
            violate(absl::StrCat("requests left open at e", i));
    }
}

Counters World::counters() const
{
    Counters sum = m_buried;
    for (const auto& entry : m_entries) {
        if (!entry->alive)
            continue;
        const Counters& each = entry->reducer->counters();
        sum.claimWrites += each.claimWrites;
        sum.claimReads += each.claimReads;
        sum.attempts += each.attempts;
        sum.tokens += each.tokens;
        sum.tokensWasted += each.tokensWasted;
        sum.resumed += each.resumed;
        for (std::size_t i = 0; i < ReasonCount; ++i) {
            sum.refused[i] += each.refused[i];
            sum.retried[i] += each.retried[i];
            sum.dropped[i] += each.dropped[i];
        }
    }
    return sum;
}

} // namespace crocusmount
