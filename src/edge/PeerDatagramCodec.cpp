#include "edge/PeerDatagram.h"
#include "generated/peer_types.h"
#include "shell/ThriftBytes.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace crocusmount {

namespace {

    std::int32_t toCount(double value)
    {
        constexpr double MaxCount = std::numeric_limits<std::int32_t>::max();
        return static_cast<std::int32_t>(std::clamp(value, 0.0, MaxCount));
    }

    double fromCount(std::int32_t value) { return std::max(0.0, static_cast<double>(value)); }

    constexpr std::size_t PromiseBytes = 8;
    constexpr Duration PromiseStep = std::chrono::milliseconds(10);
    constexpr std::uint64_t MaxPromiseSteps = 0xFFFF;

    std::string toWire(const std::vector<relay::PromisedReturn>& promises, TimePoint now)
    {
        std::string bytes;
        for (const relay::PromisedReturn& each : promises) {
            const auto steps = static_cast<std::uint64_t>(std::max(Duration(0), each.begin - now) / PromiseStep);
            const std::uint64_t word
                = (each.key & relay::PromisedReturn::KeyMask) << 16U | std::min(steps, MaxPromiseSteps);
            for (unsigned shift = 64; shift > 0; shift -= 8)
                bytes.push_back(static_cast<char>(word >> (shift - 8)));
        }
        return bytes;
    }

    absl::StatusOr<std::vector<relay::PromisedReturn>> fromWire(const std::string& bytes, TimePoint now)
    {
        if (bytes.size() % PromiseBytes)
            return absl::InvalidArgumentError("promised returns of a load report of unexpected length");
        std::vector<relay::PromisedReturn> promises;
        for (std::size_t at = 0; at < bytes.size(); at += PromiseBytes) {
            std::uint64_t word = 0;
            for (std::size_t i = 0; i < PromiseBytes; ++i)
                word = word << 8U | static_cast<unsigned char>(bytes[at + i]);
            promises.push_back({ word >> 16U, now + PromiseStep * static_cast<std::int64_t>(word & MaxPromiseSteps) });
        }
        return promises;
    }

    wire::LoadReport toWire(const relay::LoadReport& report, TimePoint now)
    {
        wire::LoadReport out;
        out.sender = report.sender.value();
        out.dataCentre = report.dataCentre.value();
        out.sequence = static_cast<std::int64_t>(report.sequence);
        out.scope = static_cast<wire::LoadScope::type>(report.scope);
        out.instances = static_cast<std::int32_t>(report.instances);
        for (const relay::EngineLoad& load : report.engines) {
            out.engines.push_back(static_cast<std::int64_t>(load.engine));
            out.tokenLayers.push_back(toCount(load.tokenLayers));
            out.calls.push_back(toCount(load.calls));
            out.avoiders.push_back(toCount(load.avoiders));
            out.contacts.push_back(toCount(load.contacts));
        }
        out.slice = static_cast<std::int32_t>(report.slice);
        out.slices = static_cast<std::int32_t>(report.slices);
        out.silentInstances.assign(report.silentInstances.begin(), report.silentInstances.end());
        out.cutOffInstances.assign(report.cutOffInstances.begin(), report.cutOffInstances.end());
        out.promisedReturns = toWire(report.promisedReturns, now);
        return out;
    }

    absl::StatusOr<relay::LoadReport> fromWire(const wire::LoadReport& in, TimePoint now)
    {
        const std::size_t count = in.engines.size();
        const bool hasContacts = !in.contacts.empty();
        if (count != in.tokenLayers.size() || count != in.calls.size() || count != in.avoiders.size()
            || (hasContacts && count != in.contacts.size()))
            return absl::InvalidArgumentError("the lists of a load report differ in length");
        if (in.scope < wire::LoadScope::INSTANCE || in.scope > wire::LoadScope::FLEET)
            return absl::InvalidArgumentError("unknown scope of a load report");
        if (in.slices < 0 || in.slice < 0 || in.slice >= std::max(1, in.slices))
            return absl::InvalidArgumentError("slice of a load report out of range");
        relay::LoadReport report { InstanceId(in.sender), DataCentreId(in.dataCentre),
            static_cast<std::uint64_t>(in.sequence), static_cast<relay::LoadScope>(in.scope),
            static_cast<std::uint32_t>(std::max(1, in.instances)), {},
            { in.silentInstances.begin(), in.silentInstances.end() }, static_cast<std::uint32_t>(in.slice),
            static_cast<std::uint32_t>(std::max(1, in.slices)),
            { in.cutOffInstances.begin(), in.cutOffInstances.end() } };
        auto promises = fromWire(in.promisedReturns, now);
        if (!promises.ok())
            return promises.status();
        report.promisedReturns = *std::move(promises);
        for (std::size_t i = 0; i < count; ++i) {
            report.engines.push_back({ static_cast<std::uint64_t>(in.engines[i]), fromCount(in.tokenLayers[i]),
                fromCount(in.calls[i]), fromCount(in.avoiders[i]), hasContacts ? fromCount(in.contacts[i]) : 0 });
        }
        return report;
    }

    wire::StoreChanges toWire(const StoreMirror::Changes& changes)
    {
        wire::StoreChanges out;
        out.after = changes.after;
        out.revision = changes.batch.revision;
        for (const StoreEvent& event : changes.batch.events) {
            wire::StoreChange change;
            change.key = event.entry.key;
            change.value = event.entry.value;
            change.revision = event.entry.modRevision;
            change.deleted = event.deleted;
            out.changes.push_back(std::move(change));
        }
        return out;
    }

    StoreMirror::Changes fromWire(const wire::StoreChanges& in)
    {
        StoreMirror::Changes changes { in.after, { in.revision, {} } };
        for (const wire::StoreChange& each : in.changes)
            changes.batch.events.push_back({ { each.key, each.value, each.revision }, each.deleted });
        return changes;
    }

    using relay::ContentDigest;

    wire::RequestName toWire(const WorkspaceId& workspace, const ContentDigest& content)
    {
        wire::RequestName out;
        out.workspace = workspace.value();
        out.content = content.toBytes();
        return out;
    }

    absl::StatusOr<relay::SoundRun> fromWire(const wire::RequestName& in)
    {
        if (in.content.size() != ContentDigest::Size)
            return absl::InvalidArgumentError("content digest of unexpected length");
        return relay::SoundRun { { WorkspaceId(in.workspace), ContentDigest::fromBytes(in.content) },
            { in.refutedEnds.begin(), in.refutedEnds.end() } };
    }

    absl::StatusOr<relay::SoundRun> fromWire(const wire::PromptPartName& in)
    {
        if (in.part.empty())
            return absl::InvalidArgumentError("empty id of a prompt part");
        const relay::RequestTrait trait { WorkspaceId(in.workspace), PromptPartId(in.part) };
        return relay::SoundRun { in.allWorkspaces ? trait.ofAllWorkspaces() : trait,
            { in.refutedEnds.begin(), in.refutedEnds.end() } };
    }

    wire::CrashReport toWire(const relay::CrashReport& report)
    {
        wire::CrashReport out;
        for (const relay::RequestTrait& trait : report.suspect.traits) {
            if (const auto* content = std::get_if<ContentDigest>(&trait.value))
                out.request = toWire(report.suspect.workspace(), *content);
            else if (!trait.isOfAllWorkspaces())
                out.parts.push_back(trait.toHex());
        }
        const auto& traits = report.suspect.traits;
        for (std::size_t i = 0; i < traits.size(); ++i) {
            if (report.suspect.hasRunLately(traits[i]))
                out.ranLately.push_back(static_cast<std::int32_t>(i));
        }
        out.ageMicros = report.age.count();
        out.ageOfLifeMicros = report.ageOfLife.count();
        out.server = static_cast<std::int64_t>(report.server);
        out.justBegun = report.suspect.sign == relay::CrashSign::JustBegun;
        return out;
    }

    absl::StatusOr<relay::CrashReport> fromWire(const wire::CrashReport& in)
    {
        auto content = fromWire(in.request);
        if (!content.ok())
            return content.status();
        const auto sign = in.justBegun ? relay::CrashSign::JustBegun : relay::CrashSign::Waiting;
        if (in.ageMicros < 0 || in.ageOfLifeMicros < 0)
            return absl::InvalidArgumentError("negative age of a crash report");
        relay::CrashReport report { { { std::move(content->trait) }, sign }, static_cast<std::uint64_t>(in.server),
            Duration(in.ageMicros), Duration(in.ageOfLifeMicros) };
        for (const std::string& part : in.parts) {
            report.suspect.traits.push_back({ WorkspaceId(in.request.workspace), PromptPartId(part) });
            report.suspect.traits.push_back(report.suspect.traits.back().ofAllWorkspaces());
        }
        for (const std::int32_t index : in.ranLately) {
            if (index < 0 || static_cast<std::size_t>(index) >= report.suspect.traits.size())
                return absl::InvalidArgumentError("index of no trait in a crash report");
            report.suspect.ranLately.push_back(report.suspect.traits[static_cast<std::size_t>(index)]);
        }
        return report;
    }

    wire::ServerLimit toWire(std::uint64_t server, const relay::ServerLimit& limit, TimePoint now)
    {
        wire::ServerLimit out;
        out.server = static_cast<std::int64_t>(server);
        if (limit.perSecond)
            out.__set_perSecond(*limit.perSecond);
        if (limit.askedAt != TimePoint())
            out.__set_ageMicros((now - limit.askedAt).count());
        return out;
    }

    absl::StatusOr<relay::ServerLimit> fromWire(const wire::ServerLimit& in, TimePoint now)
    {
        if (in.__isset.perSecond && !(std::isfinite(in.perSecond) && in.perSecond >= 0))
            return absl::InvalidArgumentError("limit of a server out of range");
        if (in.__isset.ageMicros && in.ageMicros < 0)
            return absl::InvalidArgumentError("negative age of a server limit");
        relay::ServerLimit limit;
        if (in.__isset.perSecond)
            limit.perSecond = in.perSecond;
        if (in.__isset.ageMicros)
            limit.askedAt = now - std::min(Duration(in.ageMicros), now.time_since_epoch());
        return limit;
    }

    wire::PermitRequest toWire(const relay::PermitRequest& request, TimePoint now)
    {
        wire::PermitRequest out;
        out.sender = request.sender.value();
        out.number = static_cast<std::int64_t>(request.number);
        out.count = static_cast<std::int32_t>(request.count);
        out.limit = toWire(request.server, request.limit, now);
        return out;
    }

    absl::StatusOr<relay::PermitRequest> fromWire(const wire::PermitRequest& in, TimePoint now)
    {
        auto limit = fromWire(in.limit, now);
        if (!limit.ok())
            return limit.status();
        if (in.count < 0)
            return absl::InvalidArgumentError("negative number of permits");
        return relay::PermitRequest { InstanceId(in.sender), static_cast<std::uint64_t>(in.limit.server),
            static_cast<std::uint64_t>(in.number), static_cast<std::uint32_t>(in.count), *std::move(limit) };
    }

    wire::PermitAnswer toWire(const relay::PermitAnswer& answer, TimePoint now)
    {
        wire::PermitAnswer out;
        out.number = static_cast<std::int64_t>(answer.number);
        out.granted = static_cast<std::int32_t>(answer.granted);
        out.retryAfterMicros = answer.retryAfter.count();
        out.limit = toWire(answer.server, answer.limit, now);
        return out;
    }

    absl::StatusOr<relay::PermitAnswer> fromWire(const wire::PermitAnswer& in, TimePoint now)
    {
        auto limit = fromWire(in.limit, now);
        if (!limit.ok())
            return limit.status();
        if (in.granted < 0 || in.retryAfterMicros < 0)
            return absl::InvalidArgumentError("negative number in an answer about permits");
        return relay::PermitAnswer { static_cast<std::uint64_t>(in.limit.server), static_cast<std::uint64_t>(in.number),
            static_cast<std::uint32_t>(in.granted), Duration(in.retryAfterMicros), *std::move(limit) };
    }

    /// Decodes a list.
    /// @return the error of the first invalid entry
    template <typename To, typename From>
    absl::Status decodeAll(const std::vector<From>& in, std::vector<To>& out)
    {
        for (const From& each : in) {
            auto decoded = fromWire(each);
            if (!decoded.ok())
                return decoded.status();
            out.push_back(*std::move(decoded));
        }
        return absl::OkStatus();
    }

} // namespace

std::string encode(const PeerDatagram& datagram, TimePoint now)
{
    wire::RelayDatagram out;
    if (datagram.loads)
        out.__set_loads(toWire(*datagram.loads, now));
    if (datagram.storeProgress) {
        wire::StoreBeat beat;
        beat.revision = datagram.storeProgress->revision;
        beat.ageMs = datagram.storeProgress->age.count();
        beat.lapseGraceMs = datagram.storeProgress->lapseGrace.count();
        out.__set_storeBeat(beat);
    }
    if (datagram.storeChanges)
        out.__set_storeChanges(toWire(*datagram.storeChanges));
    if (!datagram.deadEngines.empty())
        out.__set_deadEngines({ datagram.deadEngines.begin(), datagram.deadEngines.end() });
    if (!datagram.closedEngines.empty())
        out.__set_closedEngines({ datagram.closedEngines.begin(), datagram.closedEngines.end() });
    if (datagram.leavingInstance)
        out.__set_leavingInstance(static_cast<std::int64_t>(*datagram.leavingInstance));
    for (const relay::CrashReport& report : datagram.crashes)
        (report.isGroupFailure ? out.groupCrashes : out.crashes).push_back(toWire(report));
    out.__isset.crashes = !out.crashes.empty();
    out.__isset.groupCrashes = !out.groupCrashes.empty();
    for (const relay::SoundRun& run : datagram.soundRuns) {
        const WorkspaceId workspace = run.trait.workspace.value_or(WorkspaceId());
        const std::vector<std::int64_t> refutedEnds(run.refutedEnds.begin(), run.refutedEnds.end());
        if (const auto* content = std::get_if<ContentDigest>(&run.trait.value)) {
            out.soundRequests.push_back(toWire(workspace, *content));
            out.soundRequests.back().refutedEnds = refutedEnds;
            out.__isset.soundRequests = true;
            continue;
        }
        wire::PromptPartName name;
        name.workspace = workspace.value();
        name.part = run.trait.toHex();
        name.allWorkspaces = run.trait.isOfAllWorkspaces();
        name.refutedEnds = refutedEnds;
        out.soundParts.push_back(std::move(name));
        out.__isset.soundParts = true;
    }
    if (!datagram.forwardUntil.empty())
        out.__set_forwardUntil(datagram.forwardUntil);
    if (datagram.permitRequest)
        out.__set_permitRequest(toWire(*datagram.permitRequest, now));
    if (datagram.permitAnswer)
        out.__set_permitAnswer(toWire(*datagram.permitAnswer, now));
    if (datagram.serverLimit)
        out.__set_serverLimit(toWire(datagram.serverLimit->server, datagram.serverLimit->limit, now));
    return toThriftBytes(out);
}

absl::StatusOr<PeerDatagram> decodePeerDatagram(const std::string& bytes, TimePoint now)
{
    const auto in = fromThriftBytes<wire::RelayDatagram>(bytes);
    if (!in.ok())
        return in.status();
    PeerDatagram datagram;
    if (in->__isset.loads) {
        auto loads = fromWire(in->loads, now);
        if (!loads.ok())
            return loads.status();
        datagram.loads = *std::move(loads);
    }
    if (in->__isset.storeBeat) {
        const wire::StoreBeat& beat = in->storeBeat;
        if (beat.ageMs < 0 || beat.lapseGraceMs < 0)
            return absl::InvalidArgumentError("negative duration in store progress");
        datagram.storeProgress = StoreMirror::Progress { beat.revision, std::chrono::milliseconds(beat.ageMs),
            std::chrono::milliseconds(beat.lapseGraceMs) };
    }
    if (in->__isset.storeChanges)
        datagram.storeChanges = fromWire(in->storeChanges);
    if (in->__isset.deadEngines)
        datagram.deadEngines.assign(in->deadEngines.begin(), in->deadEngines.end());
    if (in->__isset.forwardUntil)
        datagram.forwardUntil = in->forwardUntil;
    if (in->__isset.leavingInstance)
        datagram.leavingInstance = static_cast<std::uint64_t>(in->leavingInstance);
    if (in->__isset.closedEngines)
        datagram.closedEngines.assign(in->closedEngines.begin(), in->closedEngines.end());
    if (const absl::Status status = decodeAll(in->crashes, datagram.crashes); !status.ok())
        return status;
    const std::size_t singleCrashes = datagram.crashes.size();
    if (const absl::Status status = decodeAll(in->groupCrashes, datagram.crashes); !status.ok())
        return status;
    for (std::size_t i = singleCrashes; i < datagram.crashes.size(); ++i)
        datagram.crashes[i].isGroupFailure = true;
    if (const absl::Status status = decodeAll(in->soundRequests, datagram.soundRuns); !status.ok())
        return status;
    if (const absl::Status status = decodeAll(in->soundParts, datagram.soundRuns); !status.ok())
        return status;
    if (in->__isset.permitRequest) {
        auto request = fromWire(in->permitRequest, now);
        if (!request.ok())
            return request.status();
        datagram.permitRequest = *std::move(request);
    }
    if (in->__isset.permitAnswer) {
        auto answer = fromWire(in->permitAnswer, now);
        if (!answer.ok())
            return answer.status();
        datagram.permitAnswer = *std::move(answer);
    }
    if (in->__isset.serverLimit) {
        const auto limit = fromWire(in->serverLimit, now);
        if (!limit.ok())
            return limit.status();
        datagram.serverLimit = ServerLimitReport { static_cast<std::uint64_t>(in->serverLimit.server), *limit };
    }
    return datagram;
}

} // namespace crocusmount
