#include "shell/CallerApi.h"

#include "shell/AnswerChannel.h"
#include "shell/Node.h"
#include "shell/Problem.h"
#include "shell/ServiceCall.h"
#include "shell/Sha256.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    constexpr std::uint32_t DefaultMaxTokens = 16;
    constexpr std::size_t MaxIdempotencyKeyBytes = 255;

    /// @return the text as a JSON string with quotes
    std::string toJsonString(const std::string& text) { return json::serialize(json::string(text)); }

    /// @param chunk  whether the answer is one chunk of a stream
    /// @return the value of "object" in an answer
    std::string objectName(bool chat, bool chunk)
    {
        if (chat)
            return chunk ? "chat.completion.chunk" : "chat.completion";
        return "text_completion";
    }

    /// The constant parts of a streamed chunk, rendered once per stream. A token is inserted between them.
    struct ChunkTemplate {
        std::string prefix;
        std::string suffix;

        ChunkTemplate(const std::string& id, const std::string& model, bool chat)
        {
            prefix = absl::StrCat("data: {\"id\":", toJsonString(id), ",\"object\":\"", objectName(chat, true),
                "\",\"model\":", toJsonString(model), ",\"choices\":[{\"index\":0,",
                chat ? "\"delta\":{\"content\":" : "\"text\":");
            suffix = chat ? "},\"finish_reason\":null}]}\n\n" : ",\"finish_reason\":null}]}\n\n";
        }

        void append(std::string& out, const std::string& token) const
        {
            out += prefix;
            out += toJsonString(token);
            out += suffix;
        }
    };

    /// Reads the prompt of a completion, or joins the messages of a chat as lines of "role: content".
    /// @param status  set to InvalidArgument if the field is missing or malformed
    std::string readPrompt(const json::object& body, bool chat, absl::Status& status)
    {
        const json::value* value = body.if_contains(chat ? "messages" : "prompt");
        if (!chat) {
            if (value && value->is_string())
                return std::string(value->as_string());
            status = absl::InvalidArgumentError("/prompt: expected a string");
            return {};
        }
        std::string prompt;
        if (!value || !value->is_array() || value->as_array().empty()) {
            status = absl::InvalidArgumentError("/messages: expected a list with at least one message");
            return {};
        }
        for (const json::value& message : value->as_array()) {
            const json::object* object = message.if_object();
            const json::value* role = object ? object->if_contains("role") : nullptr;
            const json::value* content = object ? object->if_contains("content") : nullptr;
            if (!role || !role->is_string() || !content || !content->is_string()) {
                status
                    = absl::InvalidArgumentError("/messages: expected role and content, both strings, in each message");
                return {};
            }
            absl::StrAppend(&prompt, std::string(role->as_string()), ": ", std::string(content->as_string()), "\n");
        }
        return prompt;
    }

    /// Parses the value of a header as an integer.
    /// @param text  value of the header; empty: the header is missing, and number keeps its value
    /// @return false if the text is not an integer from minimum to maximum
    bool readNumber(const std::string& text, std::int64_t minimum, std::int64_t maximum, std::int64_t& number)
    {
        return text.empty() || (absl::SimpleAtoi(text, &number) && number >= minimum && number <= maximum);
    }

} // namespace

CallerApi::CallerApi(net::io_context& context, Node& node)
    : m_context(context)
    , m_node(node)
{
}

std::optional<WorkspaceId> CallerApi::authenticate(const HttpExchange& exchange)
{
    const Configuration& configuration = m_node.reducer().configuration();
    if (m_tokenMapRevision != configuration.revision) {
        m_workspaceByTokenHash.clear();
        for (const auto& [id, workspace] : configuration.workspaces) {
            for (const std::string& hash : workspace.tokenSha256)
                m_workspaceByTokenHash.emplace(hash, id);
        }
        m_tokenMapRevision = configuration.revision;
    }
    const std::string header = exchange.header("Authorization");
    const std::string scheme = "Bearer ";
    if (header.compare(0, scheme.size(), scheme) != 0)
        return std::nullopt;
    const std::string hash = sha256Hex(header.substr(scheme.size()));
    const auto found = m_workspaceByTokenHash.find(hash);
    // The lookup time depends only on the hash, whose value a caller cannot choose. The final comparison takes constant
    // time.
    if (found == m_workspaceByTokenHash.end() || !equalInConstantTime(found->first, hash))
        return std::nullopt;
    return found->second;
}

Awaitable<void> CallerApi::onExchange(HttpExchange& exchange)
{
    const std::string path = exchange.path();
    const auto verb = exchange.request().method();
    if (m_node.reducer().configuration().revision == Revision()) {
        // A new instance has no tokens yet. It answers 503 instead of 401, because the token of the caller may be
        // valid.
        HttpReply reply = problem(503, "not_ready", "this instance has no configuration yet");
        reply.headers.emplace_back("Retry-After", "1");
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const auto workspace = authenticate(exchange);
    if (!workspace) {
        HttpReply reply = problem(401, "unauthenticated", "expected 'Authorization: Bearer TOKEN' of a workspace");
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const std::string servicesPrefix = "/v1/services/";
    if (path == "/v1/completions" && verb == http::verb::post) {
        co_await handleCompletion(exchange, *workspace, false);
    } else if (path == "/v1/chat/completions" && verb == http::verb::post) {
        co_await handleCompletion(exchange, *workspace, true);
    } else if (path == "/v1/entries" && verb == http::verb::get) {
        co_await handleEntryList(exchange, *workspace);
    } else if (path.compare(0, servicesPrefix.size(), servicesPrefix) == 0) {
        co_await handleServiceCall(exchange, *workspace);
    } else {
        HttpReply reply = problem(404, "unknown_path", path);
        co_await exchange.respond(std::move(reply));
    }
}

absl::Status CallerApi::readHeaders(const HttpExchange& exchange, RequestSpec& spec, bool repeatableByDefault) const
{
    std::int64_t deadlineMs = 0;
    std::int64_t priority = 0;
    if (!readNumber(exchange.header("X-Crocusmount-Deadline-Ms"), 1, 3600000, deadlineMs))
        return absl::InvalidArgumentError("X-Crocusmount-Deadline-Ms: expected 1 to 3600000");
    if (!readNumber(exchange.header("X-Crocusmount-Priority"), -100, 100, priority))
        return absl::InvalidArgumentError("X-Crocusmount-Priority: expected -100 to 100");
    spec.timeout = std::chrono::milliseconds(deadlineMs);
    spec.priority = static_cast<int>(priority);
    spec.idempotencyKey = exchange.header("Idempotency-Key");
    if (spec.idempotencyKey.size() > MaxIdempotencyKeyBytes)
        return absl::InvalidArgumentError("Idempotency-Key: longer than 255 bytes");
    const std::string repeatable = exchange.header("X-Crocusmount-Idempotent");
    if (!repeatable.empty() && repeatable != "true" && repeatable != "false")
        return absl::InvalidArgumentError("X-Crocusmount-Idempotent: expected true or false");
    spec.repeatable = repeatable.empty() ? repeatableByDefault : repeatable == "true";
    return absl::OkStatus();
}

absl::StatusOr<CallerApi::CompletionRequest> CallerApi::readCompletion(const HttpExchange& exchange, bool chat) const
{
    boost::system::error_code error;
    const json::value document = json::parse(exchange.request().body(), error);
    if (error || !document.is_object())
        return absl::InvalidArgumentError(
            absl::StrCat("body: expected a JSON object", error ? ": " + error.message() : ""));
    const json::object& body = document.as_object();
    CompletionRequest completion;
    completion.chat = chat;
    completion.spec.maxTokens = DefaultMaxTokens;
    const json::value* model = body.if_contains("model");
    if (!model || !model->is_string())
        return absl::InvalidArgumentError("/model: expected the name of a pipeline");
    completion.spec.pipeline = PipelineId(std::string(model->as_string()));
    if (const json::value* count = body.if_contains("max_tokens")) {
        if (!count->is_int64() || count->as_int64() < 1 || count->as_int64() > 1000000)
            return absl::InvalidArgumentError("/max_tokens: expected 1 to 1000000");
        completion.spec.maxTokens = static_cast<std::uint32_t>(count->as_int64());
    }
    if (const json::value* stream = body.if_contains("stream")) {
        if (!stream->is_bool())
            return absl::InvalidArgumentError("/stream: expected true or false");
        completion.stream = stream->as_bool();
    }
    if (const json::value* choiceCount = body.if_contains("n"); choiceCount && *choiceCount != json::value(1))
        return absl::InvalidArgumentError("/n: only 1 is served");
    absl::Status status;
    completion.spec.prompt = readPrompt(body, chat, status);
    if (status.ok())
        status = readHeaders(exchange, completion.spec, true);
    if (!status.ok())
        return status;
    return completion;
}

RequestId CallerApi::submit(
    HttpExchange& exchange, const RequestSpec& spec, const std::shared_ptr<AnswerChannel>& channel)
{
    const RequestId id = m_node.submit(spec, channel);
    exchange.setOnPeerClosed([this, id, channel] {
        channel->abandon();
        m_node.abandon(id);
    });
    return id;
}

Awaitable<void> CallerApi::handleCompletion(HttpExchange& exchange, const WorkspaceId& workspace, bool chat)
{
    auto completion = readCompletion(exchange, chat);
    if (!completion.ok()) {
        HttpReply reply = problem(400, "invalid_request", std::string(completion.status().message()));
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    completion->spec.workspace = workspace;
    auto channel = std::make_shared<AnswerChannel>(m_context);
    const RequestId id = submit(exchange, completion->spec, channel);
    if (completion->stream)
        co_await respondStream(exchange, *std::move(completion), channel, id);
    else
        co_await respondWhole(exchange, *std::move(completion), channel);
}

Awaitable<void> CallerApi::respondWhole(
    HttpExchange& exchange, CompletionRequest completion, std::shared_ptr<AnswerChannel> channel)
{
    std::string text;
    std::size_t count = 0;
    for (;;) {
        const AnswerChannel::Batch batch = co_await channel->next();
        if (channel->abandoned())
            co_return;
        for (const std::string& token : batch.tokens)
            text += token;
        count += batch.tokens.size();
        if (batch.failure) {
            HttpReply reply = problemOf(*batch.failure);
            co_await exchange.respond(std::move(reply));
            co_return;
        }
        if (batch.completed)
            break;
    }
    json::object choice { { "index", 0 }, { "finish_reason", count >= completion.spec.maxTokens ? "length" : "stop" } };
    if (completion.chat)
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    json::object body { { "object", objectName(completion.chat, false) }, { "model", completion.spec.pipeline.value() },
        { "usage", { { "completion_tokens", count } } } };
    json::array choices;
    choices.push_back(std::move(choice));
    body["choices"] = std::move(choices);
    HttpReply reply;
    reply.body = json::serialize(body);
    co_await exchange.respond(std::move(reply));
}

Awaitable<void> CallerApi::respondStream(
    HttpExchange& exchange, CompletionRequest completion, std::shared_ptr<AnswerChannel> channel, RequestId id)
{
    const std::string completionId
        = absl::StrCat("cmpl-", m_node.settings().core.self.instance.value(), "-", id.value());
    const ChunkTemplate chunkTemplate(completionId, completion.spec.pipeline.value(), completion.chat);
    bool hasBegun = false;
    for (;;) {
        const AnswerChannel::Batch batch = co_await channel->next();
        if (channel->abandoned())
            co_return;
        if (!hasBegun && batch.failure && batch.tokens.empty()) {
            HttpReply reply = problemOf(*batch.failure);
            co_await exchange.respond(std::move(reply));
            co_return;
        }
        if (!hasBegun && !co_await exchange.beginStream("text/event-stream"))
            break;
        hasBegun = true;
        std::string out;
        for (const std::string& token : batch.tokens)
            chunkTemplate.append(out, token);
        if (batch.completed)
            out += "data: [DONE]\n\n";
        if (batch.failure)
            absl::StrAppend(&out, "data: ", streamErrorOf(*batch.failure), "\n\n");
        if (!co_await exchange.writeChunk(std::move(out)))
            break;
        if (batch.completed || batch.failure) {
            co_await exchange.endStream();
            co_return;
        }
    }
    m_node.abandon(id);
}

Awaitable<void> CallerApi::handleServiceCall(HttpExchange& exchange, const WorkspaceId& workspace)
{
    const std::string target(exchange.request().target());
    const std::string nameAndTarget = target.substr(std::string("/v1/services/").size());
    const auto nameEnd = nameAndTarget.find_first_of("/?");
    RequestSpec spec;
    spec.workspace = workspace;
    spec.pipeline = PipelineId(nameAndTarget.substr(0, nameEnd));
    const auto pipeline = m_node.reducer().configuration().pipelines.find(spec.pipeline);
    const bool isService = pipeline != m_node.reducer().configuration().pipelines.end()
        && pipeline->second.kind == PipelineKind::Service;
    const auto verb = exchange.request().method();
    const bool repeatable = verb == http::verb::get || verb == http::verb::head || verb == http::verb::put
        || verb == http::verb::delete_ || verb == http::verb::options;
    const absl::Status status = readHeaders(exchange, spec, repeatable);
    if (!status.ok() || !isService) {
        HttpReply reply = isService ? problem(400, "invalid_request", std::string(status.message()))
                                    : problem(404, "unknown_pipeline", "no plain service of this name is configured");
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    ServiceCall call;
    call.method = std::string(exchange.request().method_string());
    call.target = nameEnd == std::string::npos ? "/" : nameAndTarget.substr(nameEnd);
    if (call.target.front() == '?')
        call.target.insert(0, "/");
    call.contentType = exchange.header("Content-Type");
    call.body = exchange.request().body();
    spec.prompt = toJson(call);
    auto channel = std::make_shared<AnswerChannel>(m_context);
    submit(exchange, spec, channel);
    std::string text;
    for (;;) {
        const AnswerChannel::Batch batch = co_await channel->next();
        if (channel->abandoned())
            co_return;
        for (const std::string& token : batch.tokens)
            text = token;
        if (batch.failure) {
            HttpReply reply = problemOf(*batch.failure);
            co_await exchange.respond(std::move(reply));
            co_return;
        }
        if (batch.completed)
            break;
    }
    const ServiceAnswer answer = serviceAnswerFromJson(text);
    HttpReply reply;
    reply.status = answer.status;
    reply.contentType = answer.contentType;
    reply.body = answer.body;
    reply.isEndProven = answer.isEndProven;
    co_await exchange.respond(std::move(reply));
}

Awaitable<void> CallerApi::handleEntryList(HttpExchange& exchange, const WorkspaceId& workspace)
{
    json::array entries;
    for (const MemberUpdate& entry : m_node.reducer().entriesFor(workspace)) {
        entries.push_back({ { "instance", entry.instance.value() }, { "address", entry.callerAddress },
            { "dataCentre", entry.dataCentre.value() } });
    }
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(m_node.settings().core.entryLifetime);
    HttpReply reply;
    json::object body { { "lifetimeMs", lifetime.count() } };
    body["entries"] = std::move(entries);
    reply.body = json::serialize(body);
    co_await exchange.respond(std::move(reply));
}

} // namespace crocusmount
