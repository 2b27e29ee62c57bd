#pragma once

#include "load/Experiment.h"
#include "shell/HttpClient.h"

#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace crocusmount {

/// One request of a run as its caller saw it. Times are in milliseconds since the start of the run.
struct LoadRecord {
    std::string pipeline; ///< of the request's kind
    std::string prompt; ///< also the idempotency key; unique in the run
    std::uint32_t wantedTokens = 0; ///< length of the requested answer
    std::uint32_t tokens = 0; ///< received in the last try
    bool once = false; ///< not repeatable
    double startMs = 0;
    double endMs = 0; ///< end of the last try
    double firstTokenMs = -1; ///< time from startMs to the first token; -1: none received in any try
    std::vector<double> tokenMs; ///< time of each token of a streamed answer, in the last try
    std::uint32_t tries = 0; ///< number of instances asked
    std::string outcome; ///< "complete", "wrong", "lost" (no final answer), or the reason of a failure
    std::string run; ///< "not_run" or "may_have_run" after a failure or a lost answer
};

/// Sends the requests of an experiment at random times without waiting for earlier answers (an open-loop load), injects
/// its faults, and compares each answer with the text that the stand-in engines generate for the prompt.
class LoadRun {
public:
    LoadRun(net::io_context&, Experiment);

    /// Sends all requests, waits for the last answer and then reads the ledgers.
    Awaitable<void> run();

    const std::vector<std::unique_ptr<LoadRecord>>& records() const { return m_records; }
    /// @return the number of times that each prompt was started, summed over the ledgers
    const std::map<std::string, std::uint64_t>& ledger() const { return m_ledger; }
    const Experiment& experiment() const { return m_experiment; }
    /// @return time since the start of the run
    double elapsedMs() const;

private:
    /// The instances that a caller may send to, as an instance listed them.
    struct EntryList {
        std::vector<std::string> addresses; ///< "ip:port", best one first
        std::chrono::steady_clock::time_point validUntil; ///< end of the lifetime that the instance gave
    };

    /// Sends a request, and retries at other instances until the outcome is final or the tries are used up.
    Awaitable<void> sendOne(LoadRecord&, const Experiment::Caller&, const Experiment::Kind&);
    /// Sends a request to one instance and records the outcome.
    /// @return whether the outcome is final; if not, another instance should be tried
    Awaitable<bool> attempt(
        LoadRecord&, const std::string& address, const Experiment::Caller&, const Experiment::Kind&);
    /// Returns the cached list of instances for a caller, or fetches a new one if the cached list has expired.
    /// @return addresses of the instances; those of the experiment if no instance answers
    Awaitable<std::vector<std::string>> entriesFor(const Experiment::Caller&);
    /// Sends each fault of the experiment at its time.
    Awaitable<void> injectFaults();
    /// Adds up the prompts that the backend servers started.
    Awaitable<void> readLedgers();
    /// Sets the outcome to "complete" if the answer ended and has the expected text, else to "wrong".
    void checkAnswer(LoadRecord&, const std::string& text, bool hasEnded);
    /// @return a random element, with probability in proportion to its share
    template <typename List>
    const typename List::value_type& pickByShare(const List&);

    net::io_context& m_context;
    Experiment m_experiment;
    HttpClient m_client;
    pcg64 m_random;
    std::chrono::steady_clock::time_point m_start;
    std::vector<std::unique_ptr<LoadRecord>> m_records;
    std::map<std::string, EntryList> m_entries; ///< by workspace
    std::map<std::string, std::uint64_t> m_ledger;
    std::size_t m_runningRequests = 0; ///< requests without a final outcome
};

} // namespace crocusmount
