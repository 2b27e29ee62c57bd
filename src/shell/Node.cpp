#include "shell/Node.h"

#include "core/EventJson.h"
#include "shell/AnswerChannel.h"
#include "shell/ClaimStore.h"
#include "shell/ConfigurationFollower.h"
#include "shell/EtcdStoreClient.h"
#include "shell/HttpBackendClient.h"
#include "shell/HttpClient.h"
#include "shell/InstanceList.h"
#include "shell/PeerTransport.h"

#include <absl/strings/str_cat.h>
#include <spdlog/spdlog.h>

namespace crocusmount {

namespace {

    constexpr std::chrono::milliseconds TickInterval { 10 };
    constexpr std::chrono::milliseconds ChangeLogInterval { 200 };
    constexpr std::chrono::seconds InstanceListInterval { 2 };
    constexpr std::size_t MaxBackendsPerMessage = 200; ///< keeps a datagram below 64 KiB, the limit of UDP

} // namespace

Node::Node(net::io_context& context, const Settings& settings)
    : m_context(context)
    , m_settings(settings)
    , m_random(pcg_extras::seed_seq_from<std::random_device>())
    , m_wallClockStart(std::chrono::system_clock::now())
    , m_steadyClockStart(std::chrono::steady_clock::now())
{
}

Node::~Node() = default;

absl::StatusOr<std::unique_ptr<Node>> Node::make(
    net::io_context& context, const Settings& settings, const std::string& recordFile)
{
    std::unique_ptr<Node> node(new Node(context, settings));
    if (auto status = node->start(recordFile); !status.ok())
        return status;
    return node;
}

absl::Status Node::start(const std::string& recordFile)
{
    auto reducer = Reducer::make(m_settings.core);
    if (!reducer.ok())
        return reducer.status();
    m_reducer = *std::move(reducer);
    if (!recordFile.empty()) {
        m_recordStream.open(recordFile);
        if (!m_recordStream)
            return absl::NotFoundError(absl::StrCat(recordFile, ": cannot be written"));
        m_recordStream << "# incarnation " << m_settings.core.self.incarnation << '\n';
    }
    const auto postEvent = [this](EventBody body) { post(std::move(body)); };
    const MemberUpdate& self = m_settings.core.self;
    m_store = std::make_unique<EtcdStoreClient>(m_context, m_settings.store);
    m_backendClient = std::make_unique<HttpBackendClient>(
        m_context, absl::StrCat(self.instance.value(), "/", self.incarnation), postEvent);
    m_claimStore = std::make_unique<ClaimStore>(m_context, *m_store, postEvent);
    m_follower = std::make_unique<ConfigurationFollower>(m_context, *m_store, postEvent);
    m_instanceListClient = std::make_unique<HttpClient>(m_context);
    PeerTransport::Handlers handlers;
    handlers.onMessage = [this](PeerMessage message) { post(event::PeerMessageReceived { std::move(message) }); };
    handlers.configurationSince = [this](Revision since) { return m_reducer->configurationSince(since); };
    handlers.onConfiguration = [this](ConfigurationChange change) {
        post(event::ConfigurationRead { std::move(change), false });
    };
    auto peers = PeerTransport::make(m_context, m_settings.peerListen, std::move(handlers));
    if (!peers.ok())
        return peers.status();
    m_peerTransport = *std::move(peers);
    post(event::InstancesListed { m_settings.seeds });
    net::co_spawn(m_context.get_executor(), runTicks(), net::detached);
    if (!m_settings.instanceList.empty())
        net::co_spawn(m_context.get_executor(), pollInstanceList(), net::detached);
    return absl::OkStatus();
}

TimePoint Node::now() const
{
    // The origin is wall-clock time, so that instances agree on the age of claims. The steady clock measures the time
    // since then, so adjustments of the wall clock have no effect.
    const auto elapsed = std::chrono::steady_clock::now() - m_steadyClockStart;
    return TimePoint(std::chrono::duration_cast<Duration>(m_wallClockStart.time_since_epoch() + elapsed));
}

void Node::recordEvent(const Event& event)
{
    if (!m_recordStream.is_open())
        return;
    m_recordStream << toJsonLine(event) << '\n';
    for (const Effect& effect : m_effects)
        m_recordStream << "  " << toJsonLine(effect) << '\n';
}

void Node::reduceOne(EventBody body)
{
    const Event event { now(), m_random(), std::move(body) };
    m_effects.clear();
    m_reducer->reduce(event, m_effects);
    ++m_eventCount;
    recordEvent(event);
    // Events that are posted by effects wait in m_eventQueue, so m_effects does not change during this loop.
    for (const Effect& effect : m_effects)
        std::visit([this](const auto& body) { execute(body); }, effect);
}

void Node::post(EventBody body)
{
    m_eventQueue.push_back(std::move(body));
    if (m_isReducing)
        return;
    m_isReducing = true;
    while (!m_eventQueue.empty()) {
        EventBody next = std::move(m_eventQueue.front());
        m_eventQueue.pop_front();
        reduceOne(std::move(next));
    }
    m_isReducing = false;
}

RequestId Node::submit(RequestSpec spec, std::shared_ptr<AnswerChannel> channel)
{
    const RequestId id(m_nextRequestId++);
    const auto arrivedAt = std::chrono::steady_clock::now();
    m_openRequests[id] = OpenRequest { std::move(channel), arrivedAt, arrivedAt, true };
    post(event::RequestArrived { id, std::move(spec) });
    return id;
}

void Node::abandon(RequestId id)
{
    if (m_openRequests.erase(id))
        post(event::CallerLeft { id });
}

// ---- Effects -------------------------------------------------------------------------------------------------------

void Node::execute(const effect::StartAttempt& attempt) { m_backendClient->start(attempt); }

void Node::execute(const effect::CancelAttempt& cancel) { m_backendClient->cancel(cancel.attempt); }

void Node::execute(const effect::DeliverToken& token)
{
    const auto found = m_openRequests.find(token.request);
    if (found == m_openRequests.end())
        return;
    OpenRequest& request = found->second;
    const auto time = std::chrono::steady_clock::now();
    const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(time - request.lastTokenAt);
    if (request.isFirstTokenPending)
        m_metrics.observeFirstToken(gap);
    else
        m_metrics.observeTokenGap(gap);
    request.isFirstTokenPending = false;
    request.lastTokenAt = time;
    request.channel->push(token.text);
}

void Node::execute(const effect::CompleteAnswer& answer)
{
    const auto found = m_openRequests.find(answer.request);
    if (found == m_openRequests.end())
        return;
    m_metrics.observeRequest(std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - found->second.arrivedAt));
    found->second.channel->complete();
    m_openRequests.erase(found);
}

void Node::execute(const effect::FailAnswer& failure)
{
    const auto found = m_openRequests.find(failure.request);
    if (found == m_openRequests.end())
        return;
    found->second.channel->fail(failure);
    m_openRequests.erase(found);
}

void Node::execute(const effect::ReadClaims& read) { m_claimStore->read(read); }

void Node::execute(const effect::AppendClaims& append) { m_claimStore->append(append); }

void Node::execute(const effect::ProbeBackend& probe)
{
    const auto& backends = m_reducer->configuration().backends;
    const auto server = backends.find(probe.backend);
    const bool isService = server != backends.end() && !server->second.service.empty();
    m_backendClient->probe(probe, isService ? &server->second : nullptr);
}

void Node::execute(const effect::SendPeerMessage& send)
{
    if (send.message.backends.size() <= MaxBackendsPerMessage) {
        m_peerTransport->send(send.address, send.message);
        return;
    }
    for (std::size_t begin = 0; begin < send.message.backends.size(); begin += MaxBackendsPerMessage) {
        const auto end = std::min(begin + MaxBackendsPerMessage, send.message.backends.size());
        PeerMessage part = send.message;
        part.backends.assign(send.message.backends.begin() + static_cast<std::ptrdiff_t>(begin),
            send.message.backends.begin() + static_cast<std::ptrdiff_t>(end));
        m_peerTransport->send(send.address, part);
    }
}

void Node::execute(const effect::FetchConfiguration& fetch)
{
    m_peerTransport->fetchConfiguration(fetch.peerAddress, m_reducer->configuration().revision);
}

void Node::execute(const effect::FollowStore& follow) { m_follower->setFollowing(follow.follow); }

void Node::execute(const effect::DrainFinished&)
{
    if (m_onDrained)
        m_onDrained();
}

// ---- Loops ---------------------------------------------------------------------------------------------------------

Awaitable<void> Node::runTicks()
{
    Timer timer(m_context.get_executor());
    auto nextLog = std::chrono::steady_clock::now();
    for (;;) {
        timer.expires_after(TickInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        post(event::Tick {});
        if (std::chrono::steady_clock::now() < nextLog)
            continue;
        nextLog = std::chrono::steady_clock::now() + ChangeLogInterval;
        logChanges();
    }
}

Awaitable<void> Node::pollInstanceList()
{
    Timer timer(m_context.get_executor());
    for (;;) {
        HttpCall call;
        call.address = m_settings.instanceList;
        call.target = "/v1/instances";
        const HttpAnswer answer = co_await m_instanceListClient->call(std::move(call));
        if (answer.status == 200)
            post(event::InstancesListed { instancesFromJson(answer.body) });
        timer.expires_after(InstanceListInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    }
}

void Node::logChanges()
{
    for (const MemberUpdate& member : m_reducer->members()) {
        const auto [known, added] = m_loggedMembers.try_emplace(member.instance, member.state);
        if (!added && known->second == member.state)
            continue;
        known->second = member.state;
        spdlog::info("member instance={} state={}", member.instance.value(), toString(member.state));
    }
    for (const BackendNews& news : m_reducer->backends(now())) {
        const auto [known, added] = m_loggedBackends.try_emplace(news.report.backend, news.reachable);
        if (!added && known->second == news.reachable)
            continue;
        known->second = news.reachable;
        spdlog::info("backend id={} reachable={}", news.report.backend.value(), news.reachable);
    }
    const Revision revision = m_reducer->configuration().revision;
    if (revision != m_loggedRevision)
        spdlog::info("configuration revision={}", revision.value());
    m_loggedRevision = revision;
}

std::string Node::renderMetrics() const
{
    Metrics::Gauges gauges;
    gauges.openRequests = m_reducer->openRequests();
    gauges.connections = m_connectionCount ? m_connectionCount() : 0;
    gauges.clients = m_clients;
    for (const MemberUpdate& member : m_reducer->members())
        gauges.membersAlive += member.state == MemberState::Alive;
    for (const BackendNews& news : m_reducer->backends(now()))
        gauges.backendsReachable += news.reachable;
    gauges.configurationRevision = m_reducer->configuration().revision.value();
    gauges.peerBytesSent = m_peerTransport->traffic().sentBytes;
    gauges.peerBytesReceived = m_peerTransport->traffic().receivedBytes;
    gauges.storeCalls = m_claimStore->calls() + m_follower->calls();
    gauges.events = m_eventCount;
    return m_metrics.render(m_reducer->counters(), gauges);
}

} // namespace crocusmount
