#include "shell/PeerCodec.h"

#include "generated/peer_types.h"
#include "shell/ThriftBytes.h"

namespace crocusmount {

namespace {

    wire::Member toWire(const MemberUpdate& update)
    {
        wire::Member member;
        member.instance = update.instance.value();
        member.peerAddress = update.peerAddress;
        member.callerAddress = update.callerAddress;
        member.dataCentre = update.dataCentre.value();
        member.incarnation = static_cast<std::int64_t>(update.incarnation);
        member.state = static_cast<wire::MemberState::type>(update.state);
        member.revision = update.revision.value();
        return member;
    }

    MemberUpdate fromWire(const wire::Member& member)
    {
        MemberUpdate update;
        update.instance = InstanceId(member.instance);
        update.peerAddress = member.peerAddress;
        update.callerAddress = member.callerAddress;
        update.dataCentre = DataCentreId(member.dataCentre);
        update.incarnation = static_cast<std::uint64_t>(member.incarnation);
        update.state = static_cast<MemberState>(member.state);
        update.revision = Revision(member.revision);
        return update;
    }

    wire::Backend toWire(const BackendNews& news)
    {
        wire::Backend backend;
        backend.id = news.report.backend.value();
        backend.model = news.report.model;
        backend.layerBegin = static_cast<std::int32_t>(news.report.layers.begin);
        backend.layerEnd = static_cast<std::int32_t>(news.report.layers.end);
        backend.generation = static_cast<std::int64_t>(news.report.generation.value());
        backend.slots = static_cast<std::int32_t>(news.report.slots);
        backend.stepMicros = news.report.stepMicros;
        backend.running = static_cast<std::int32_t>(news.report.running);
        backend.leaving = news.report.leaving;
        backend.reachable = news.reachable;
        backend.sequence = static_cast<std::int64_t>(news.sequence);
        backend.ageMicros = news.age.count();
        return backend;
    }

    BackendNews fromWire(const wire::Backend& backend)
    {
        BackendNews news;
        news.report.backend = BackendId(backend.id);
        news.report.model = backend.model;
        news.report.layers
            = { static_cast<std::uint32_t>(backend.layerBegin), static_cast<std::uint32_t>(backend.layerEnd) };
        news.report.generation = Generation(static_cast<std::uint64_t>(backend.generation));
        news.report.slots = static_cast<std::uint32_t>(backend.slots);
        news.report.stepMicros = backend.stepMicros;
        news.report.running = static_cast<std::uint32_t>(backend.running);
        news.report.leaving = backend.leaving;
        news.reachable = backend.reachable;
        news.sequence = static_cast<std::uint64_t>(backend.sequence);
        news.age = Duration(backend.ageMicros);
        return news;
    }

    bool hasKnownState(const wire::Member& member)
    {
        return member.state >= wire::MemberState::ALIVE && member.state <= wire::MemberState::DEAD;
    }

} // namespace

std::string encode(const PeerMessage& message)
{
    wire::Message out;
    out.kind = static_cast<wire::MessageKind::type>(message.kind);
    out.sender = toWire(message.sender);
    out.sequence = static_cast<std::int64_t>(message.sequence);
    out.target = message.target.value();
    for (const MemberUpdate& update : message.updates)
        out.updates.push_back(toWire(update));
    for (const BackendNews& news : message.backends)
        out.backends.push_back(toWire(news));
    return toThriftBytes(out);
}

absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    const auto in = fromThriftBytes<wire::Message>(bytes);
    if (!in.ok())
        return in.status();
    if (in->kind < wire::MessageKind::PING || in->kind > wire::MessageKind::NEWS || !hasKnownState(in->sender))
        return absl::InvalidArgumentError("unknown kind or state");
    PeerMessage message;
    message.kind = static_cast<PeerMessageKind>(in->kind);
    message.sender = fromWire(in->sender);
    message.sequence = static_cast<std::uint64_t>(in->sequence);
    message.target = InstanceId(in->target);
    for (const wire::Member& member : in->updates) {
        if (!hasKnownState(member))
            return absl::InvalidArgumentError("unknown state");
        message.updates.push_back(fromWire(member));
    }
    for (const wire::Backend& backend : in->backends)
        message.backends.push_back(fromWire(backend));
    return message;
}

std::string encode(const ConfigurationChange& change)
{
    wire::ConfigurationReply reply;
    reply.base = change.base.value();
    reply.revision = change.revision.value();
    for (const ConfigurationEntry& entry : change.entries) {
        wire::ConfigurationEntry out;
        out.key = entry.key;
        out.value = entry.value;
        out.modified = entry.modified.value();
        reply.entries.push_back(std::move(out));
    }
    return toThriftBytes(reply);
}

absl::StatusOr<ConfigurationChange> decodeConfigurationChange(const std::string& bytes)
{
    const auto in = fromThriftBytes<wire::ConfigurationReply>(bytes);
    if (!in.ok())
        return in.status();
    ConfigurationChange change { Revision(in->base), Revision(in->revision), {} };
    for (const wire::ConfigurationEntry& entry : in->entries)
        change.entries.push_back({ entry.key, entry.value, Revision(entry.modified) });
    return change;
}

std::string encodeConfigurationRequest(Revision since)
{
    wire::ConfigurationRequest request;
    request.since = since.value();
    return toThriftBytes(request);
}

absl::StatusOr<Revision> decodeConfigurationRequest(const std::string& bytes)
{
    const auto in = fromThriftBytes<wire::ConfigurationRequest>(bytes);
    if (!in.ok())
        return in.status();
    return Revision(in->since);
}

} // namespace crocusmount
