#pragma once

#include <string>
#include <vector>

namespace crocusmount::relay {

/// Names of the HTTP headers with a meaning for callers, instances and backend servers, set by the platform's adapter.
/// The comments say what each header contains.
struct HeaderNames {
    std::string callId; ///< the caller's id of the call; the server that answers sends it back
    std::string deadlineMs; ///< how long the sender waits for the answer, in milliseconds
    std::string workspace; ///< the caller's workspace; only an instance may set it
    std::string expectedServer; ///< id of the only server that may run the call
    std::string notRun; ///< on an answer: the server did not run the call
    std::string seal; ///< on an answer: the server's signature; an answer without it is not delivered
    std::string chain; ///< the chain of stages with their layer ranges, see wireText()
    std::string resumeAfter; ///< id of the last event that the caller has received
    std::string serverLimit; ///< on an answer: requests a second that the server takes from all instances together
    std::string serverLeaving; ///< on an answer: "1" if the server will exit
    std::string culprit; ///< on an answer: address of the stage that failed
    std::vector<std::string> fromInstancesOnly; ///< headers that are removed from callers' requests
};

} // namespace crocusmount::relay
