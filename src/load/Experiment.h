#pragma once

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusmount {

/// The settings of a load run, read from JSON (docs/testing.md). The JSON keys equal the field names.
struct Experiment {
    /// A workspace that sends requests.
    struct Caller {
        std::string id; ///< of the workspace
        std::string token; ///< bearer token of the workspace
        double share = 1; ///< weight among the callers
    };
    /// A kind of request.
    struct Kind {
        std::string pipeline; ///< sent as the model of the request
        double share = 1; ///< weight among the kinds
        std::uint32_t leastTokens = 1; ///< the length of an answer is uniform between leastTokens and mostTokens
        std::uint32_t mostTokens = 1;
        bool stream = true; ///< whether the answer is streamed
        bool once = false; ///< not repeatable
        std::int64_t deadlineMs = 0; ///< deadline sent with the request; 0: none
    };
    /// A fault to inject into a stand-in.
    struct Fault {
        std::int64_t atMs = 0; ///< time since the start of the run
        std::string address; ///< "ip:port" of the stand-in
        std::string body; ///< sent to its /fault endpoint
    };

    std::string name = "run"; ///< prefix of the prompts and idempotency keys
    std::uint64_t seed = 1; ///< of the random choices of arrival times, callers, kinds and lengths
    double seconds = 10; ///< time during which requests are sent
    double requestsPerSecond = 10; ///< mean rate of a Poisson process
    std::vector<std::string> entries; ///< "ip:port" of the instances to ask first
    std::vector<Caller> workspaces;
    std::vector<Kind> mix; ///< kinds of requests
    std::vector<Fault> faults; ///< in order of time
    std::vector<std::string> ledgers; ///< "ip:port" of the backend servers that count the prompts they ran
    std::uint32_t tries = 4; ///< attempts per request, each at the next instance
};

/// Parses an experiment.
/// @param name  name of the source, for error messages
/// @return the experiment, or InvalidArgument with a message that names the source and the invalid key
absl::StatusOr<Experiment> parseExperiment(const std::string& name, const std::string& text);

} // namespace crocusmount
