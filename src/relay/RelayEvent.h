#pragma once

#include "crocusmount/Ids.h"
#include "relay/CallSpec.h"
#include "relay/CrashReport.h"
#include "relay/LoadReport.h"
#include "relay/RegisteredServer.h"

#include <memory>
#include <optional>
#include <variant>

namespace crocusmount::relay {

class RouteTable;

/// How an attempt at a backend server ended.
enum class AttemptResult {
    Completed, ///< the whole answer, a success, was handed over
    ServerFailure, ///< the server's own failure, whole and kept by the shell; it counts as run
    NotRun, ///< the server says that it did not run the call
    ConnectFailed, ///< no byte of the call was sent
    Broken, ///< after bytes were sent: no answer, a part of one, or bytes that are none
};

/// @return the snake_case name used in logs
const char* toString(AttemptResult);

/// The closed family of the relay's events.
namespace event {

    struct ConfigurationAccepted {
        std::shared_ptr<const RouteTable> routes;
    };

    struct ServerRegistered {
        RegisteredServer server;
    };

    struct ServerUnregistered {
        BackendId server;
    };

    /// How many instances share the backend servers, this one included.
    struct InstancesCounted {
        std::uint32_t instances = 1;
    };

    /// Reports whether the local copy of the store lacks changes that a peer has, or may lack changes because the store
    /// has not answered recently.
    struct StoreCopyChecked {
        bool isOutdated = false;
    };

    /// What the other instances have running on the engines, by engineKey; nothing where that is not known.
    struct LoadsReported {
        std::optional<EngineLoads> loads;
    };

    struct CallArrived {
        RequestId call;
        CallSpec spec;
    };

    /// The caller closed its connection before the final answer.
    struct CallerLeft {
        RequestId call;
    };

    /// Bytes of the call go out: from here on it may have run.
    struct AttemptSent {
        AttemptId attempt;
    };

    /// The head of a success came: the server has begun to run the call.
    struct AnswerBegun {
        AttemptId attempt;
    };

    /// A whole event of a stream was handed to the caller.
    struct EventDelivered {
        AttemptId attempt;
        std::uint64_t eventId = 0;
    };

    struct AttemptEnded {
        AttemptId attempt;
        AttemptResult result = AttemptResult::Broken;
        unsigned status = 0; ///< of the server's answer, if there was one
        std::string culprit; ///< address of the stage that the server names; empty if none
    };

    /// The answer to an order to go on over another chain.
    struct RerouteAnswered {
        AttemptId attempt;
        bool accepted = false;
        std::string culprit {}; ///< address of the stage that it failed at; empty if none is named
    };

    /// The first stage's answer to the question at which stage a stream stands still.
    struct StalledStageNamed {
        AttemptId attempt;
        std::string address; ///< of that stage; empty: the first stage knows of none
    };

    /// An engine's answer to a check.
    struct EngineChecked {
        BackendId engine;
        bool answered = false;
        double slowness = 1; ///< its work takes this many times as long as its card's figures say
        bool refused = false; ///< not answered, and its machine says that no process listens there
        StartTime asked {}; ///< the start that was believed when it was asked
        StartTime answering {}; ///< the start that answered, as far as it says so
        LayerRange layers {}; ///< that it holds, as it answers
        std::uint32_t queued = 0; ///< requests that wait there for a place
        double memoryUsed = 1; ///< part of its memory for requests that is taken
    };

    /// An engine said when it started, in its answer to an order.
    struct EngineStartSeen {
        BackendId engine;
        StartTime startedAt;
    };

    /// Another instance's checks found engines dead.
    struct EnginesReportedDead {
        std::vector<std::uint64_t> engines; ///< their keys, see engineKey
    };

    /// Another instance was turned away by engines that have room: they take no new work.
    struct EnginesReportedClosed {
        std::vector<std::uint64_t> engines; ///< their keys, see engineKey
    };

    /// A plain server was asked which start of it answers.
    struct ServerProbed {
        enum class Finding {
            Alive, ///< the start that was asked answered
            Ended, ///< another start answered, or no process listens there
            Unknown, ///< no answer, or one that names no start: what accepts connections may be a proxy before it
        };

        BackendId server;
        Finding finding = Finding::Unknown;
    };

    /// Another instance saw servers end under requests.
    struct CrashesReported {
        std::vector<CrashReport> crashes;
    };

    /// Requests that another instance has seen run soundly.
    struct SoundRequestsReported {
        std::vector<RequestIdentity> requests;
    };

    /// The store lists a request as quarantined.
    struct QuarantineListed {
        RequestIdentity request;
    };

    /// It lists it no longer.
    struct QuarantineLifted {
        RequestIdentity request;
    };

    struct DrainRequested { };

    struct Tick { };

} // namespace event

using RelayEventBody = std::variant<event::ConfigurationAccepted, event::ServerRegistered, event::ServerUnregistered,
    event::InstancesCounted, event::StoreCopyChecked, event::LoadsReported, event::CallArrived, event::CallerLeft,
    event::AttemptSent, event::AnswerBegun, event::EventDelivered, event::AttemptEnded, event::RerouteAnswered,
    event::StalledStageNamed, event::EngineChecked, event::ServerProbed, event::CrashesReported,
    event::SoundRequestsReported, event::QuarantineListed, event::QuarantineLifted, event::EngineStartSeen,
    event::EnginesReportedDead, event::EnginesReportedClosed, event::DrainRequested, event::Tick>;

/// Something that happened, with all the time and entropy that the relay may use for it.
struct RelayEvent {
    TimePoint now;
    std::uint64_t entropy = 0;
    RelayEventBody body;
};

} // namespace crocusmount::relay
