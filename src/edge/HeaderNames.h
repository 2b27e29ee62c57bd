#pragma once

#include <string>
#include <vector>

namespace crocusmount::relay {

/// The names of the headers that callers, instances and backend servers agree on. The platform's adapter fills them in.
struct HeaderNames {
    std::string callId; ///< the caller's id of a call, echoed by the server that answers
    std::string deadlineMs; ///< how long the sender waits
    std::string workspace; ///< who calls; only an instance may set it
    std::string expectedServer; ///< id of the one server that may take the call
    std::string notRun; ///< on an answer: the server did not run the call
    std::string seal; ///< on an answer: the server's signature
    std::string chain; ///< the stages, with their layers
    std::string resumeAfter; ///< id of the last event that the caller has
    std::string culprit; ///< on an answer: the stage that failed
    std::vector<std::string> fromInstancesOnly; ///< dropped where a caller sends them
};

} // namespace crocusmount::relay
