#include "shell/Problem.h"

#include <boost/json.hpp>

namespace crocusmount {

namespace json = boost::json;

namespace {

    /// @return the HTTP status for a failed request
    unsigned statusOf(Reason reason)
    {
        switch (reason) {
        case Reason::UnknownPipeline:
            return 404;
        case Reason::NotPermitted:
            return 403;
        case Reason::KeyRequired:
            return 400;
        case Reason::KeyClaimed:
            return 409;
        case Reason::KeyReused:
            return 422;
        case Reason::QueueFull:
            return 429;
        case Reason::DeadlinePassed:
            return 504;
        case Reason::StoreUnavailable:
        case Reason::DeadlineTooShort:
        case Reason::NoRoute:
        case Reason::RetryBudgetSpent:
        case Reason::Draining:
        case Reason::Isolated:
            return 503;
        default:
            return 502;
        }
    }

    /// @return the explanation for the caller
    const char* detailOf(Reason reason)
    {
        switch (reason) {
        case Reason::UnknownPipeline:
            return "no pipeline of this name is configured";
        case Reason::NotPermitted:
            return "the pipeline's workspace selector does not match this workspace";
        case Reason::KeyRequired:
            return "a request that may not be repeated needs an Idempotency-Key";
        case Reason::KeyClaimed:
            return "another request has this key; it may have run";
        case Reason::KeyReused:
            return "this key was used with another body";
        case Reason::StoreUnavailable:
            return "the platform's store did not confirm the key in time";
        case Reason::DeadlineTooShort:
            return "the deadline cannot be met behind the requests that wait already";
        case Reason::NotRepeatable:
            return "the attempt was lost and the request may not be repeated";
        default:
            return "see the reason";
        }
    }

} // namespace

HttpReply problemOf(const effect::FailAnswer& failure)
{
    const unsigned status = statusOf(failure.reason);
    const auto retryMs = std::chrono::duration_cast<std::chrono::milliseconds>(failure.retryAfter).count();
    json::object body { { "type", "about:blank" }, { "title", toString(failure.reason) }, { "status", status },
        { "reason", toString(failure.reason) }, { "run", toString(failure.run) },
        { "detail", detailOf(failure.reason) } };
    HttpReply reply;
    reply.status = status;
    reply.contentType = "application/problem+json";
    if (retryMs > 0) {
        body["retryAfterMs"] = retryMs;
        reply.headers.emplace_back("Retry-After", std::to_string((retryMs + 999) / 1000));
    }
    reply.body = json::serialize(body);
    return reply;
}

HttpReply problem(unsigned status, const std::string& reason, const std::string& detail)
{
    HttpReply reply;
    reply.status = status;
    reply.contentType = "application/problem+json";
    reply.body = json::serialize(json::object { { "type", "about:blank" }, { "title", reason }, { "status", status },
        { "reason", reason }, { "run", toString(RunState::NotRun) }, { "detail", detail } });
    return reply;
}

std::string streamErrorOf(const effect::FailAnswer& failure)
{
    const auto retryMs = std::chrono::duration_cast<std::chrono::milliseconds>(failure.retryAfter).count();
    return json::serialize(json::object { { "error",
        { { "reason", toString(failure.reason) }, { "run", toString(failure.run) }, { "retryAfterMs", retryMs } } } });
}

} // namespace crocusmount
