#include "core/EventJson.h"

#include "core/DescribeValues.h"

#include <boost/mp11.hpp>

// Duration and TimePoint are types of std::chrono. Argument-dependent lookup finds these overloads through the tag
// arguments, which belong to boost::json.
namespace boost::json {

void tag_invoke(value_from_tag, value& out, const crocusmount::Duration& duration) { out = duration.count(); }

crocusmount::Duration tag_invoke(value_to_tag<crocusmount::Duration>, const value& in)
{
    return crocusmount::Duration(value_to<std::int64_t>(in));
}

void tag_invoke(value_from_tag, value& out, const crocusmount::TimePoint& time)
{
    out = time.time_since_epoch().count();
}

crocusmount::TimePoint tag_invoke(value_to_tag<crocusmount::TimePoint>, const value& in)
{
    return crocusmount::timePoint(value_to<std::int64_t>(in));
}

} // namespace boost::json

namespace crocusmount {

namespace json = boost::json;

void tag_invoke(json::value_from_tag, json::value& out, const Chain& chain) { out = chain.trace(); }

} // namespace crocusmount

namespace crocusmount {

BOOST_DESCRIBE_ENUM(RunState, NotRun, MayHaveRun, Completed)
BOOST_DESCRIBE_ENUM(Reason, UnknownPipeline, NotPermitted, KeyRequired, KeyClaimed, KeyReused, StoreUnavailable,
    DeadlineTooShort, DeadlinePassed, QueueFull, NoRoute, RetryBudgetSpent, RetriesSpent, Draining, Isolated,
    NotRepeatable, CallerGone, ConnectFailed, ConnectionLost, RefusedByBackend, BackendError, StageFailed, Stalled,
    Truncated, TraceMismatch, IndexGap, LateFrame, DoubledFrame, CrossedFrame)
BOOST_DESCRIBE_ENUM(WriteOutcome, Committed, Conflict, Unknown, NotSent)
BOOST_DESCRIBE_ENUM(MemberState, Alive, Suspect, Leaving, Dead)
BOOST_DESCRIBE_ENUM(PeerMessageKind, Ping, Ack, PingRequest, News)
BOOST_DESCRIBE_STRUCT(LayerRange, (), (begin, end))
BOOST_DESCRIBE_STRUCT(
    RequestSpec, (), (workspace, pipeline, prompt, maxTokens, timeout, priority, idempotencyKey, repeatable))
BOOST_DESCRIBE_STRUCT(BackendReport, (), (backend, model, layers, generation, slots, stepMicros, running, leaving))
BOOST_DESCRIBE_STRUCT(Claim, (), (keyHash, nonce, released))
BOOST_DESCRIBE_STRUCT(ClaimBatch, (), (sequence, writtenAt, claims))
BOOST_DESCRIBE_STRUCT(
    MemberUpdate, (), (instance, peerAddress, callerAddress, dataCentre, incarnation, state, revision))
BOOST_DESCRIBE_STRUCT(BackendNews, (), (report, reachable, age, sequence))
BOOST_DESCRIBE_STRUCT(PeerMessage, (), (kind, sender, sequence, target, updates, backends))
BOOST_DESCRIBE_STRUCT(ConfigurationEntry, (), (key, value, modified))
BOOST_DESCRIBE_STRUCT(ConfigurationChange, (), (base, revision, entries))

namespace event {
    BOOST_DESCRIBE_STRUCT(RequestArrived, (), (request, spec))
    BOOST_DESCRIBE_STRUCT(CallerLeft, (), (request))
    BOOST_DESCRIBE_STRUCT(TokenReceived, (), (attempt, named, index, text, trace))
    BOOST_DESCRIBE_STRUCT(AttemptEnded, (), (attempt, count))
    BOOST_DESCRIBE_STRUCT(AttemptFailed, (), (attempt, reason, run, culprit))
    BOOST_DESCRIBE_STRUCT(ClaimsRead, (), (shard, available, headRevision, headSequence, batches))
    BOOST_DESCRIBE_STRUCT(ClaimsAppended, (), (shard, outcome, revision))
    BOOST_DESCRIBE_STRUCT(ConfigurationRead, (), (change, fromStore))
    BOOST_DESCRIBE_STRUCT(StoreSeen, (), (available))
    BOOST_DESCRIBE_STRUCT(BackendReported, (), (report, asked))
    BOOST_DESCRIBE_STRUCT(BackendUnreachable, (), (backend))
    BOOST_DESCRIBE_STRUCT(PeerMessageReceived, (), (message))
    BOOST_DESCRIBE_STRUCT(InstancesListed, (), (instances))
    BOOST_DESCRIBE_STRUCT(DrainRequested, (), ())
    BOOST_DESCRIBE_STRUCT(Tick, (), ())
} // namespace event

namespace effect {
    BOOST_DESCRIBE_STRUCT(
        StartAttempt, (), (attempt, request, chain, prompt, maxTokens, emitted, priority, kind, repeatable))
    BOOST_DESCRIBE_STRUCT(CancelAttempt, (), (attempt))
    BOOST_DESCRIBE_STRUCT(DeliverToken, (), (request, index, text))
    BOOST_DESCRIBE_STRUCT(CompleteAnswer, (), (request, count))
    BOOST_DESCRIBE_STRUCT(FailAnswer, (), (request, reason, run, retryAfter))
    BOOST_DESCRIBE_STRUCT(ReadClaims, (), (shard, afterSequence))
    BOOST_DESCRIBE_STRUCT(AppendClaims, (), (shard, expectedHeadRevision, sequence, trimBelow, writtenAt, claims))
    BOOST_DESCRIBE_STRUCT(ProbeBackend, (), (backend, address, asked))
    BOOST_DESCRIBE_STRUCT(SendPeerMessage, (), (address, message))
    BOOST_DESCRIBE_STRUCT(FetchConfiguration, (), (peerAddress))
    BOOST_DESCRIBE_STRUCT(FollowStore, (), (follow))
    BOOST_DESCRIBE_STRUCT(DrainFinished, (), ())
} // namespace effect

namespace {

    // Names of the alternatives, in the order of EventBody and Effect.
    constexpr std::array EventNames { "RequestArrived", "CallerLeft", "TokenReceived", "AttemptEnded", "AttemptFailed",
        "ClaimsRead", "ClaimsAppended", "ConfigurationRead", "StoreSeen", "BackendReported", "BackendUnreachable",
        "PeerMessageReceived", "InstancesListed", "DrainRequested", "Tick" };
    constexpr std::array EffectNames { "StartAttempt", "CancelAttempt", "DeliverToken", "CompleteAnswer", "FailAnswer",
        "ReadClaims", "AppendClaims", "ProbeBackend", "SendPeerMessage", "FetchConfiguration", "FollowStore",
        "DrainFinished" };
    static_assert(EventNames.size() == std::variant_size_v<EventBody>);
    static_assert(EffectNames.size() == std::variant_size_v<Effect>);

    template <typename Variant>
    json::value bodyToJson(const Variant& variant)
    {
        return std::visit([](const auto& body) { return json::value_from(body); }, variant);
    }

} // namespace

std::string toJsonLine(const Event& event)
{
    json::object line;
    line["now"] = event.now.time_since_epoch().count();
    line["entropy"] = event.entropy;
    line["type"] = EventNames.at(event.body.index());
    line["body"] = bodyToJson(event.body);
    return json::serialize(line);
}

std::string toJsonLine(const Effect& effect)
{
    json::object line;
    line["type"] = EffectNames.at(effect.index());
    line["body"] = bodyToJson(effect);
    return json::serialize(line);
}

absl::StatusOr<Event> eventFromJsonLine(const std::string& text)
{
    try {
        const json::value line = json::parse(text);
        Event event;
        event.now = timePoint(json::value_to<std::int64_t>(line.at("now")));
        event.entropy = json::value_to<std::uint64_t>(line.at("entropy"));
        const std::string type(line.at("type").as_string());
        const auto found = std::find(EventNames.begin(), EventNames.end(), type);
        if (found == EventNames.end())
            return absl::InvalidArgumentError("unknown event type " + type);
        const auto index = static_cast<std::size_t>(found - EventNames.begin());
        boost::mp11::mp_with_index<std::variant_size_v<EventBody>>(index, [&](auto constant) {
            using Body = std::variant_alternative_t<constant.value, EventBody>;
            event.body = json::value_to<Body>(line.at("body"));
        });
        return event;
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace crocusmount
