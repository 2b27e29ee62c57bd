#include "shell/OperatorApi.h"

#include "config/ConfigurationJson.h"
#include "shell/Node.h"
#include "shell/Problem.h"
#include "shell/Sha256.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/json.hpp>

namespace crocusmount {

namespace {

    namespace json = boost::json;

    const Revision AnyRevision(-1); ///< from "*": the change is applied to whatever revision is current

    /// @return the value of "result" in a response
    const char* resultName(ApplyResult result)
    {
        switch (result) {
        case ApplyResult::Accepted:
            return "accepted";
        case ApplyResult::Conflict:
            return "conflict";
        case ApplyResult::NotAccepted:
            return "not_accepted";
        case ApplyResult::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    /// @return the HTTP status of a response
    unsigned statusOf(ApplyResult result)
    {
        switch (result) {
        case ApplyResult::Accepted:
            return 200;
        case ApplyResult::Conflict:
            return 412;
        default:
            return 503;
        }
    }

    /// Parses a revision written as N, "N" in quotes, or *.
    /// @return the revision, AnyRevision for *, or InvalidArgument
    absl::StatusOr<Revision> parseRevision(std::string text)
    {
        std::erase(text, '"');
        if (text == "*")
            return AnyRevision;
        std::int64_t number = 0;
        if (!absl::SimpleAtoi(text, &number) || number < 0)
            return absl::InvalidArgumentError("expected the revision that the change is based on, or *");
        return Revision(number);
    }

    /// Parses and checks the list "objects" of a change. An object whose value is null is to be deleted and gets an
    /// empty value.
    /// @return the entries, or InvalidArgument that names the field or the key
    absl::StatusOr<std::vector<ConfigurationEntry>> parseObjects(const json::object& body)
    {
        const json::value* objects = body.if_contains("objects");
        if (!objects || !objects->is_array() || objects->as_array().empty())
            return absl::InvalidArgumentError("/objects: expected a list with at least one object");
        std::vector<ConfigurationEntry> entries;
        for (const json::value& each : objects->as_array()) {
            const json::object* object = each.if_object();
            const json::value* key = object ? object->if_contains("key") : nullptr;
            const json::value* value = object ? object->if_contains("value") : nullptr;
            if (!key || !key->is_string() || !value)
                return absl::InvalidArgumentError("/objects: expected key and value in each");
            const std::string name(key->as_string());
            const bool repeated = std::any_of(
                entries.begin(), entries.end(), [&](const ConfigurationEntry& entry) { return entry.key == name; });
            if (repeated)
                return absl::InvalidArgumentError(name + ": duplicate id");
            if (value->is_null()) {
                entries.push_back({ name, {}, Revision() });
                continue;
            }
            auto entry = validatedEntry(name, json::serialize(*value));
            if (!entry.ok())
                return entry.status();
            entries.push_back(*std::move(entry));
        }
        return entries;
    }

} // namespace

OperatorApi::OperatorApi(Node& node)
    : m_node(node)
    , m_writer(node.store())
{
}

bool OperatorApi::isAuthenticated(const HttpExchange& exchange) const
{
    const std::string header = exchange.header("Authorization");
    const std::string prefix = "Bearer ";
    if (header.compare(0, prefix.size(), prefix) != 0)
        return false;
    const std::string hash = sha256Hex(header.substr(prefix.size()));
    // Every hash is compared, so the time does not tell which one matches.
    bool found = false;
    for (const std::string& known : m_node.settings().operatorTokenSha256)
        found = equalInConstantTime(known, hash) || found;
    return found;
}

Awaitable<void> OperatorApi::onExchange(HttpExchange& exchange)
{
    const std::string path = exchange.path();
    const auto verb = exchange.request().method();
    HttpReply reply;
    if (!isAuthenticated(exchange)) {
        reply = problem(401, "unauthenticated", "expected 'Authorization: Bearer TOKEN' of an operator");
    } else if (path == "/admin/v1/apply" && verb == http::verb::post) {
        co_await apply(exchange);
        co_return;
    } else if (path == "/admin/v1/settle" && verb == http::verb::get) {
        co_await settle(exchange);
        co_return;
    } else if (path == "/admin/v1/configuration" && verb == http::verb::get) {
        reply = configuration();
    } else if (path == "/admin/v1/status" && verb == http::verb::get) {
        reply = status();
    } else if (path == "/admin/v1/drain" && verb == http::verb::post) {
        m_node.post(event::DrainRequested {});
        reply.body = R"({"draining":true})";
    } else {
        reply = problem(404, "unknown_path", path);
    }
    co_await exchange.respond(std::move(reply));
}

HttpReply OperatorApi::configuration() const
{
    const ConfigurationChange change = m_node.reducer().configurationSince(Revision());
    json::array objects;
    for (const ConfigurationEntry& entry : change.entries)
        objects.push_back(
            { { "key", entry.key }, { "modified", entry.modified.value() }, { "value", json::parse(entry.value) } });
    HttpReply reply;
    json::object body { { "revision", change.revision.value() } };
    body["objects"] = std::move(objects);
    reply.body = json::serialize(body);
    reply.headers.emplace_back("ETag", absl::StrCat("\"", change.revision.value(), "\""));
    return reply;
}

HttpReply OperatorApi::status() const
{
    const Reducer& reducer = m_node.reducer();
    json::array members;
    for (const MemberUpdate& member : reducer.members()) {
        members.push_back({ { "instance", member.instance.value() }, { "dataCentre", member.dataCentre.value() },
            { "address", member.callerAddress }, { "state", toString(member.state) },
            { "revision", member.revision.value() } });
    }
    json::array backends;
    for (const BackendNews& news : reducer.backends(m_node.now())) {
        backends.push_back({ { "id", news.report.backend.value() }, { "reachable", news.reachable },
            { "model", news.report.model }, { "begin", news.report.layers.begin }, { "end", news.report.layers.end },
            { "generation", news.report.generation.value() }, { "running", news.report.running },
            { "slots", news.report.slots }, { "leaving", news.report.leaving } });
    }
    const Counters& counters = reducer.counters();
    json::object body { { "instance", m_node.settings().core.self.instance.value() },
        { "revision", reducer.configuration().revision.value() }, { "draining", reducer.isDraining() },
        { "openRequests", reducer.openRequests() }, { "requests", counters.requests },
        { "completed", counters.completed }, { "resumed", counters.resumed } };
    body["members"] = std::move(members);
    body["backends"] = std::move(backends);
    HttpReply reply;
    reply.body = json::serialize(body);
    return reply;
}

std::vector<std::string> OperatorApi::warningsFor(const std::vector<ConfigurationEntry>& entries) const
{
    Configuration changedConfiguration = m_node.reducer().configuration();
    for (const ConfigurationEntry& entry : entries)
        (void)applyEntry(entry, changedConfiguration);
    std::vector<std::string> warnings;
    for (const auto& [id, pipeline] : changedConfiguration.pipelines) {
        for (const auto& label : pipeline.selector) {
            const bool found = std::any_of(changedConfiguration.backends.begin(), changedConfiguration.backends.end(),
                [&](const auto& each) { return matches({ label }, each.second.labels); });
            if (!found)
                warnings.push_back(absl::StrCat(
                    "pipelines/", id.value(), ": no backend server has the label ", label.first, "=", label.second));
        }
    }
    return warnings;
}

Awaitable<void> OperatorApi::apply(HttpExchange& exchange)
{
    HttpReply reply;
    boost::system::error_code error;
    const json::value document = json::parse(exchange.request().body(), error);
    const auto base = parseRevision(exchange.header("If-Match"));
    absl::StatusOr<std::vector<ConfigurationEntry>> entries
        = absl::InvalidArgumentError("body: expected a JSON object");
    if (!error && document.is_object())
        entries = parseObjects(document.as_object());
    if (!base.ok() || !entries.ok()) {
        reply = problem(400, "invalid_request",
            base.ok() ? std::string(entries.status().message())
                      : absl::StrCat("If-Match: ", std::string(base.status().message())));
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    json::array warnings;
    for (const std::string& warning : warningsFor(*entries))
        warnings.emplace_back(warning);
    const MemberUpdate& self = m_node.settings().core.self;
    const std::string nonce = absl::StrCat(self.instance.value(), "-", self.incarnation, "-", m_nextNonce++);
    const json::value* dryRun = document.as_object().if_contains("dryRun");
    if (dryRun && dryRun->is_bool() && dryRun->as_bool()) {
        json::object body { { "result", "dry_run" }, { "objects", entries->size() } };
        body["warnings"] = std::move(warnings);
        reply.body = json::serialize(body);
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const ApplyOutcome outcome = co_await m_writer.apply(*base, *entries, nonce);
    if (outcome.result == ApplyResult::Accepted && *base != AnyRevision) {
        ConfigurationChange change { *base, outcome.revision, *entries };
        for (ConfigurationEntry& entry : change.entries)
            entry.modified = outcome.revision;
        m_node.post(event::ConfigurationRead { std::move(change), true });
    }
    json::object body { { "result", resultName(outcome.result) }, { "revision", outcome.revision.value() },
        { "nonce", nonce } };
    json::array changed;
    for (const std::string& key : outcome.changed)
        changed.emplace_back(key);
    body["changed"] = std::move(changed);
    body["warnings"] = std::move(warnings);
    if (outcome.result == ApplyResult::Unknown) {
        body["settle"] = absl::StrCat("crocusmount settle --nonce ", nonce, " --base ", base->value());
    }
    reply.status = statusOf(outcome.result);
    reply.body = json::serialize(body);
    co_await exchange.respond(std::move(reply));
}

Awaitable<void> OperatorApi::settle(HttpExchange& exchange)
{
    const auto base = parseRevision(exchange.query("base"));
    HttpReply reply;
    if (!base.ok()) {
        reply = problem(400, "invalid_request", "base: expected a revision");
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    std::string nonce = exchange.query("nonce");
    const ApplyOutcome outcome = co_await m_writer.settle(*base, std::move(nonce));
    reply.body = json::serialize(
        json::object { { "result", resultName(outcome.result) }, { "revision", outcome.revision.value() } });
    co_await exchange.respond(std::move(reply));
}

} // namespace crocusmount
