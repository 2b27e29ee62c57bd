#pragma once

#include "crocusmount/BackendReport.h"
#include "shell/HttpClient.h"
#include "shell/HttpServer.h"

#include <boost/json.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace crocusmount {

/// Stands in for a model engine: holds a range of layers, runs steps in a fixed number of slots, calls the next stage
/// of a chain for each token and streams the tokens of a known text.
class EngineStandin final : public HttpHandler {
public:
    /// The report holds the initial state of the engine, its number of slots and the duration of a step.
    /// @param checksFence  whether orders with an old fencing number are refused
    EngineStandin(net::io_context&, BackendReport, bool checksFence);

private:
    /// Faults set with POST /fault while the engine runs. Each uint64_t except dieAfterTokens and dieInToken is the
    /// number of times that the fault still occurs.
    struct Faults {
        double slowFactor = 1; ///< factor on the duration of a step
        std::int64_t linkDelayMs = 0; ///< delay before each call to the next stage
        std::int64_t statusLagMs = 0; ///< delay before a status report is made
        std::uint64_t refuse = 0; ///< preparations to refuse as busy
        std::uint64_t wrongTrace = 0; ///< tokens to send with a wrong trace
        std::uint64_t truncate = 0; ///< streams to end without an end frame, after a token
        std::uint64_t cutFrame = 0; ///< streams to end inside the frame of a token
        std::uint64_t duplicate = 0; ///< tokens to send twice
        std::uint64_t cross = 0; ///< tokens to precede with a frame that names another attempt
        std::uint64_t gap = 0; ///< tokens to leave out
        std::uint64_t dieAfterTokens = 0; ///< the process exits at this total of tokens, 0: never
        std::uint64_t dieInToken = 0; ///< the process exits inside the frame of this token, counted over all streams
    };
    /// One attempt to answer a prompt.
    struct Stream {
        std::string attempt;
        std::string prompt;
        std::uint32_t maxTokens = 0; ///< length of the whole answer, in tokens
        std::uint32_t nextIndex = 0; ///< index of the first token to send
        boost::json::array hops; ///< stages of the chain, in order
        bool cancelled = false; ///< the caller closed the connection
    };
    /// The result of computing one token from this stage to the end of the chain.
    struct Step {
        bool ok = false;
        std::string text; ///< the token
        std::string trace; ///< comma-separated entries of the stages that ran the step
        std::string culprit; ///< id of the backend server that failed, if not ok
    };

    Awaitable<void> onExchange(HttpExchange&) override;
    /// Answers POST /v1/streams: prepares the chain, streams the tokens and releases the chain.
    Awaitable<void> runStream(HttpExchange&);
    /// Sends the remaining tokens and the end frame, or an error frame if a stage fails.
    Awaitable<void> sendTokens(HttpExchange&, std::shared_ptr<Stream>);
    /// Runs one step in a slot of this engine and calls the next stage, if there is one.
    Awaitable<Step> runStep(std::shared_ptr<Stream>, std::uint32_t index, std::uint32_t hop);
    /// Reserves a place for the attempt at this stage and all later ones.
    /// @return the refusal as JSON, or an empty text if all stages agreed
    Awaitable<std::string> prepare(std::string attempt, boost::json::array hops, std::uint32_t hop);
    /// Releases the places of the attempt at this stage and all later ones.
    Awaitable<void> finish(std::string attempt, boost::json::array hops, std::uint32_t hop);
    /// Answers POST /v1/forward, the call of the previous stage for one token.
    Awaitable<void> forward(HttpExchange&);
    /// Waits for a free slot and occupies it for the duration of one step.
    Awaitable<void> useSlot();
    Awaitable<void> sleep(std::chrono::microseconds);
    HttpReply status() const;
    /// Answers POST /v1/orders: changes the layer range and increments the generation.
    HttpReply order(const boost::json::object&);
    HttpReply setFaults(const boost::json::object&);
    /// Answers GET /v1/ledger with the streams begun here, counted by prompt.
    HttpReply ledger() const;
    /// @return the refusal as JSON, or an empty text if this engine can serve the hop
    std::string checkHop(const boost::json::object& hop);
    /// @return the event-stream text of a token, with the faults that are set
    std::string makeTokenFrame(const Stream&, std::uint32_t index, const Step&);

    net::io_context& m_context;
    HttpClient m_client;
    BackendReport m_report;
    bool m_checksFence;
    std::int64_t m_highestFence = 0; ///< highest fencing number of an accepted order
    Faults m_faults;
    std::uint32_t m_busySlots = 0;
    /// Steps that wait for a slot. Cancelling a timer passes a slot to its step.
    std::deque<std::shared_ptr<Timer>> m_slotWaiters;
    std::map<std::string, std::chrono::steady_clock::time_point> m_reservations; ///< last use by attempt
    std::map<std::string, std::uint64_t> m_runsByPrompt; ///< streams begun here as the first stage, by prompt
    std::uint64_t m_tokensComputed = 0; ///< tokens computed as the first stage
};

} // namespace crocusmount
