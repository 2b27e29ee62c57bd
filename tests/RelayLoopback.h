#pragma once

#include "edge/EngineReport.h"
#include "relay/RequestTrait.h"
#include "shell/Net.h"
#include "tests/fakes/ConnectionEnd.h"

#include <optional>
#include <string>
#include <vector>

namespace crocusmount::relay {

/// What one call led to.
struct CallOutcome {
    std::string answer; ///< bytes that the caller received
    bool hasEndedInOrder = false; ///< the caller's connection was closed in order, as opposed to reset or left open
    std::size_t requests = 0; ///< requests that reached the backend server
    std::optional<double> limit {}; ///< requests a second that the backend server is known to accept
    Duration backoff {}; ///< time for which the backend server is known to want no requests
    bool isLeaving = false; ///< whether the backend server is known to exit
    std::uint64_t unreadable = 0; ///< headers of the backend server about itself that were ignored
};

/// Runs one call through FrontServer, RelayNode and UpstreamAttempt, with one scripted server for all services.
/// @param request      bytes that the caller sends
/// @param answers      see ScriptedServer
/// @param quarantined  trait that the store lists as quarantined, if any
/// @param checkAnswer  how the engine and the plain server answer each health check
/// @param connectionEnd  how the server ends each connection after its answer
CallOutcome runCall(const std::string& request, std::vector<std::string> answers,
    const std::optional<RequestTrait>& quarantined = std::nullopt, CheckAnswer checkAnswer = CheckAnswer::Alive,
    ConnectionEnd connectionEnd = ConnectionEnd::Closed);

/// @return a request of the caller "me" for a path, the last one on its connection
std::string requestTo(const char* path);

/// @return the beginning of the head of a server's answer
/// @param status  status code and reason
/// @param id      the call that the answer belongs to
std::string answerHead(const char* status, const char* id = "me");

bool hasText(const std::string& text, const std::string& part);

} // namespace crocusmount::relay
