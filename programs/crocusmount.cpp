// Command-line client for operators and callers.

#include "programs/CommandLine.h"
#include "shell/CallTimeline.h"
#include "shell/HttpClient.h"
#include "shell/Json.h"
#include "shell/SseParser.h"

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <boost/json.hpp>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace crocusmount;
namespace json = boost::json;

constexpr const char* Usage = R"(Usage: crocusmount COMMAND [words] [options]

Commands for operators:
  apply FILE                 apply the objects of FILE, all or none
  get [KIND[/ID]]            print configured objects (workspaces, pipelines, backends)
  label KIND/ID KEY=VALUE... set labels; KEY- removes a label
  select pipelines/ID KEY=VALUE...  set labels of the pipeline's selector; KEY- removes a label
  status                     print instances and backend servers; --watch, --wait REVISION
  explain pipelines/ID       list the backend servers that may serve a pipeline, and why the others may not
  drain                      let the instance finish its streams and stop
  settle                     find out whether a write in doubt was applied (--nonce, --base)
  why CALL [FILE...]         print the history of a call from instances' log lines, in FILEs or on standard input
  quarantine                 print the requests and parts of prompts that are sent to no server (--entry: an instance's metrics address)
  quarantine lift ID         allow quarantined requests to be sent to servers again
Commands for callers:
  entries                    print the instances to use
  send PIPELINE PROMPT       send a completion and print the answer

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another write, 4 write in doubt.
)";

/// Connection and output settings that all commands use.
struct Client {
    std::string entry; ///< ip:port of the instance
    std::string token; ///< of an operator or a workspace
    bool isJsonOutput = false;

    /// Sends one request and waits for the answer, for at most 30 seconds.
    HttpAnswer call(http::verb verb, const std::string& target, const std::string& body = {},
        std::vector<std::pair<std::string, std::string>> headers = {}) const
    {
        net::io_context context(1);
        HttpClient client(context);
        HttpAnswer answer;
        HttpCall request;
        request.address = entry;
        request.verb = verb;
        request.target = target;
        request.body = body;
        request.timeout = std::chrono::seconds(30);
        request.maxAnswerBytes = HttpClient::DefaultMaxKeptBytes;
        request.headers = std::move(headers);
        request.headers.emplace_back("Authorization", "Bearer " + token);
        net::co_spawn(
            context.get_executor(), [&]() -> Awaitable<void> { answer = co_await client.call(std::move(request)); },
            net::detached);
        context.run();
        return answer;
    }
};

/// @return the JSON object in the body of an answer, or an empty object if the body holds none
json::object objectOf(const HttpAnswer& answer)
{
    boost::system::error_code error;
    json::value value = json::parse(answer.body, error);
    return !error && value.is_object() ? std::move(value.as_object()) : json::object();
}

/// @return a string member as it is, a member of another type as JSON, or an empty text if the member is missing
std::string textOf(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    if (!value)
        return {};
    return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

/// @return whether the status is 200, but the body is no JSON object, because the answer was cut off
bool isCutSuccess(const HttpAnswer& answer) { return answer.status == 200 && objectOf(answer).empty(); }

/// Prints the error to stderr unless the call was answered with status 200 and a readable body.
/// @return whether it was
bool succeeded(const HttpAnswer& answer)
{
    const json::object body = objectOf(answer);
    if (answer.status == 200 && !body.empty())
        return true;
    if (isCutSuccess(answer))
        std::cerr << "crocusmount: the answer is cut off or cannot be read\n";
    else if (answer.phase != CallPhase::Answered)
        std::cerr << "crocusmount: no answer: " << answer.error << "\n";
    else
        std::cerr << "crocusmount: " << answer.status << " " << textOf(body, "reason") << ": " << textOf(body, "detail")
                  << "\n";
    return false;
}

/// Prints one line per row, with columns as wide as their longest value.
void printTable(const std::vector<std::string>& columns, const json::array& rows)
{
    std::vector<std::size_t> widths;
    for (const std::string& column : columns) {
        std::size_t width = column.size();
        for (const json::value& row : rows)
            width = std::max(width, textOf(row.as_object(), column.c_str()).size());
        widths.push_back(width + 2);
    }
    for (std::size_t i = 0; i < columns.size(); ++i)
        std::cout << std::left << std::setw(static_cast<int>(widths[i])) << columns[i];
    std::cout << "\n";
    for (const json::value& row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i)
            std::cout << std::left << std::setw(static_cast<int>(widths[i]))
                      << textOf(row.as_object(), columns[i].c_str());
        std::cout << "\n";
    }
}

/// Prints the result of a configuration write.
/// @return the exit code
int printApplyResult(const Client& client, const HttpAnswer& answer)
{
    const json::object body = objectOf(answer);
    const std::string result = textOf(body, "result");
    if (result.empty()) {
        succeeded(answer);
        return answer.phase == CallPhase::Answered && !isCutSuccess(answer) ? ExitFailed : ExitUnknownOutcome;
    }
    if (client.isJsonOutput) {
        std::cout << answer.body << "\n";
    } else {
        std::cout << result << (body.contains("revision") ? " revision " + textOf(body, "revision") : "") << "\n";
        if (const json::value* warnings = body.if_contains("warnings")) {
            for (const json::value& warning : warnings->as_array())
                std::cout << "warning: " << std::string(warning.as_string()) << "\n";
        }
        if (result == "conflict")
            std::cout << "changed by others: " << textOf(body, "changed") << "\n";
        if (result == "unknown")
            std::cout << "settle with: " << textOf(body, "settle") << "\n";
    }
    if (result == "accepted" || result == "dry_run")
        return ExitOk;
    if (result == "conflict")
        return ExitConflict;
    return result == "unknown" ? ExitUnknownOutcome : ExitFailed;
}

/// Writes objects over a base revision, which --base overrides.
/// @return the exit code
int applyObjects(const Client& client, const Arguments& arguments, json::array objects, std::string base)
{
    json::object body;
    body["objects"] = std::move(objects);
    if (arguments.has("dry-run"))
        body["dryRun"] = true;
    base = arguments.get("base", base);
    return printApplyResult(
        client, client.call(http::verb::post, "/admin/v1/apply", json::serialize(body), { { "If-Match", base } }));
}

/// Reads the configuration objects of a JSON file.
/// @return a key and a value for each object, or an error that names the file and the place in it
absl::StatusOr<json::array> readObjects(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
        return absl::NotFoundError(file + ": cannot be read");
    std::stringstream content;
    content << stream.rdbuf();
    boost::system::error_code error;
    const json::value document = json::parse(content.str(), error);
    if (error || !document.is_object())
        return absl::InvalidArgumentError(file + ": expected a JSON object");
    json::array objects;
    for (const auto& [kind, list] : document.as_object()) {
        const std::string name(kind);
        if (name != "workspaces" && name != "pipelines" && name != "backends")
            return absl::InvalidArgumentError(absl::StrCat(file, ": /", name, ": unknown kind"));
        if (!list.is_array())
            return absl::InvalidArgumentError(absl::StrCat(file, ": /", name, ": expected a list"));
        std::size_t index = 0;
        for (const json::value& object : list.as_array()) {
            const std::string id = object.is_object() ? textOf(object.as_object(), "id") : "";
            if (id.empty())
                return absl::InvalidArgumentError(absl::StrCat(file, ": /", name, "/", index, "/id: expected an id"));
            objects.push_back({ { "key", absl::StrCat(name, "/", id) }, { "value", object } });
            ++index;
        }
    }
    return objects;
}

int apply(const Client& client, const Arguments& arguments)
{
    auto objects = readObjects(arguments.words.at(1));
    if (!objects.ok()) {
        std::cerr << objects.status().message() << "\n";
        return ExitUsage;
    }
    const HttpAnswer current = client.call(http::verb::get, "/admin/v1/configuration");
    if (!succeeded(current))
        return ExitFailed;
    return applyObjects(client, arguments, *std::move(objects), textOf(objectOf(current), "revision"));
}

int get(const Client& client, const Arguments& arguments)
{
    const HttpAnswer answer = client.call(http::verb::get, "/admin/v1/configuration");
    if (!succeeded(answer))
        return ExitFailed;
    const std::string prefix = arguments.words.size() > 1 ? arguments.words[1] : "";
    const json::object body = objectOf(answer);
    json::array rows;
    for (const json::value& object : body.at("objects").as_array()) {
        const std::string key = textOf(object.as_object(), "key");
        if (key.compare(0, prefix.size(), prefix) == 0)
            rows.push_back(object);
    }
    if (client.isJsonOutput)
        std::cout << json::serialize(rows) << "\n";
    else
        printTable({ "key", "modified", "value" }, rows);
    return ExitOk;
}

/// Sets and removes labels of the configured object that the command line names.
/// @param member  "labels" or "selector"
/// @return the exit code
int setLabels(const Client& client, const Arguments& arguments, const char* member)
{
    const HttpAnswer current = client.call(http::verb::get, "/admin/v1/configuration");
    if (!succeeded(current))
        return ExitFailed;
    const json::object body = objectOf(current);
    const std::string& key = arguments.words.at(1);
    for (const json::value& object : body.at("objects").as_array()) {
        if (textOf(object.as_object(), "key") != key)
            continue;
        json::object value = object.at("value").as_object();
        json::object labels = value.contains(member) ? value[member].as_object() : json::object();
        for (std::size_t i = 2; i < arguments.words.size(); ++i) {
            const std::string& word = arguments.words[i];
            const auto equals = word.find('=');
            if (equals != std::string::npos) {
                labels[word.substr(0, equals)] = word.substr(equals + 1);
            } else if (!word.empty() && word.back() == '-') {
                labels.erase(word.substr(0, word.size() - 1));
            } else {
                std::cerr << "crocusmount: '" << word << "' is neither KEY=VALUE nor KEY-\n";
                return ExitUsage;
            }
        }
        value[member] = std::move(labels);
        json::array objects;
        objects.push_back({ { "key", key }, { "value", std::move(value) } });
        return applyObjects(client, arguments, std::move(objects), textOf(body, "revision"));
    }
    std::cerr << "crocusmount: no object " << key << "\n";
    return ExitFailed;
}

/// @return whether every live instance has applied this revision or a later one
bool inForceEverywhere(const json::object& status, std::int64_t revision)
{
    for (const json::value& member : status.at("members").as_array()) {
        const std::string state = textOf(member.as_object(), "state");
        const bool isLive = state == "alive" || state == "suspect";
        if (isLive && member.at("revision").as_int64() < revision)
            return false;
    }
    return true;
}

int status(const Client& client, const Arguments& arguments)
{
    const auto wait = arguments.number("wait", 0);
    if (!wait) {
        std::cerr << "crocusmount: --wait: expected a revision\n";
        return ExitUsage;
    }
    const auto end
        = std::chrono::steady_clock::now() + std::chrono::seconds(arguments.number("timeout", 30).value_or(30));
    for (;;) {
        const HttpAnswer answer = client.call(http::verb::get, "/admin/v1/status");
        if (!succeeded(answer))
            return ExitFailed;
        const json::object body = objectOf(answer);
        const bool isInForce = inForceEverywhere(body, *wait);
        const bool shouldRepeat = arguments.has("watch") || (!isInForce && std::chrono::steady_clock::now() < end);
        if (!shouldRepeat || arguments.has("watch")) {
            if (client.isJsonOutput) {
                std::cout << answer.body << "\n";
            } else {
                printTable({ "instance", "dataCentre", "address", "state", "revision" }, body.at("members").as_array());
                std::cout << "\n";
                printTable({ "id", "reachable", "model", "begin", "end", "generation", "running", "slots", "leaving" },
                    body.at("backends").as_array());
            }
        }
        if (!shouldRepeat)
            return isInForce ? ExitOk : ExitFailed;
        std::this_thread::sleep_for(std::chrono::milliseconds(arguments.has("watch") ? 1000 : 100));
    }
}

/// @param report  the server's last report, or null
/// @return why a backend server may not serve a pipeline, or an empty text if it may
std::string rejectionReason(const json::object& pipeline, const json::object& server, const json::object* report)
{
    const json::object* labels = server.at("labels").if_object();
    for (const auto& [label, value] : pipeline.at("selector").as_object()) {
        const json::value* found = labels ? labels->if_contains(label) : nullptr;
        if (!found || *found != value)
            return absl::StrCat("label ", std::string(label), "=", std::string(value.as_string()), " is missing");
    }
    if (server.at("leaving").as_bool())
        return "an operator marked it as leaving";
    if (!report || !report->at("reachable").as_bool())
        return "it does not answer";
    if (report->at("leaving").as_bool())
        return "it says that it is leaving";
    if (textOf(*report, "model") != textOf(pipeline, "model"))
        return absl::StrCat("it holds model ", textOf(*report, "model"));
    return {};
}

int explain(const Client& client, const Arguments& arguments)
{
    const HttpAnswer configured = client.call(http::verb::get, "/admin/v1/configuration");
    const HttpAnswer reported = client.call(http::verb::get, "/admin/v1/status");
    if (!succeeded(configured) || !succeeded(reported))
        return ExitFailed;
    const json::object configuration = objectOf(configured);
    const json::object state = objectOf(reported);
    const json::object* pipeline = nullptr;
    for (const json::value& object : configuration.at("objects").as_array()) {
        if (textOf(object.as_object(), "key") == arguments.words.at(1))
            pipeline = object.at("value").if_object();
    }
    if (!pipeline || !pipeline->contains("selector")) {
        std::cerr << "crocusmount: no pipeline " << arguments.words.at(1) << "\n";
        return ExitFailed;
    }
    json::array rows;
    for (const json::value& object : configuration.at("objects").as_array()) {
        const std::string key = textOf(object.as_object(), "key");
        if (key.compare(0, 9, "backends/") != 0)
            continue;
        const json::object* report = nullptr;
        for (const json::value& backend : state.at("backends").as_array()) {
            if (textOf(backend.as_object(), "id") == key.substr(9))
                report = backend.if_object();
        }
        const std::string why = rejectionReason(*pipeline, object.at("value").as_object(), report);
        rows.push_back({ { "backend", key.substr(9) }, { "serves", why.empty() ? "yes" : "no" },
            { "layers", report ? absl::StrCat(textOf(*report, "begin"), "-", textOf(*report, "end")) : "" },
            { "why", why.empty() ? "labels match, it answers and holds the model" : why } });
    }
    if (client.isJsonOutput)
        std::cout << json::serialize(rows) << "\n";
    else
        printTable({ "backend", "serves", "layers", "why" }, rows);
    return ExitOk;
}

int entries(const Client& client)
{
    const HttpAnswer answer = client.call(http::verb::get, "/v1/entries");
    if (!succeeded(answer))
        return ExitFailed;
    if (client.isJsonOutput)
        std::cout << answer.body << "\n";
    else
        printTable({ "instance", "address", "dataCentre" }, objectOf(answer).at("entries").as_array());
    return ExitOk;
}

int send(const Client& client, const Arguments& arguments)
{
    const json::object body { { "model", arguments.words.at(1) }, { "prompt", arguments.words.at(2) },
        { "max_tokens", arguments.number("max-tokens", 16).value_or(16) } };
    std::vector<std::pair<std::string, std::string>> headers;
    if (arguments.has("key"))
        headers.emplace_back("Idempotency-Key", arguments.get("key"));
    if (arguments.has("once"))
        headers.emplace_back("X-Crocusmount-Idempotent", "false");
    const HttpAnswer answer = client.call(http::verb::post, "/v1/completions", json::serialize(body), headers);
    if (!succeeded(answer)) {
        std::cerr << "run: " << (isCutSuccess(answer) ? "may_have_run" : textOf(objectOf(answer), "run")) << "\n";
        return ExitFailed;
    }
    if (client.isJsonOutput)
        std::cout << answer.body << "\n";
    else
        std::cout << textOf(objectOf(answer).at("choices").as_array().at(0).as_object(), "text") << "\n";
    return ExitOk;
}

int settle(const Client& client, const Arguments& arguments)
{
    const HttpAnswer answer = client.call(http::verb::get,
        absl::StrCat("/admin/v1/settle?nonce=", arguments.get("nonce"), "&base=", arguments.get("base")));
    return printApplyResult(client, answer);
}

int quarantine(const Client& client)
{
    const HttpAnswer answer = client.call(http::verb::get, "/quarantine");
    if (!succeeded(answer))
        return ExitFailed;
    if (client.isJsonOutput) {
        std::cout << answer.body << "\n";
        return ExitOk;
    }
    const json::object listed = objectOf(answer);
    for (const json::value& each : listOf(listed, "quarantined")) {
        const json::object& entry = each.as_object();
        std::cout << textOf(entry, "id") << "  " << textOf(entry, "kind") << " " << textOf(entry, "value") << "  "
                  << textOf(entry, "workspace") << "  servers " << json::serialize(entry.at("servers")) << "\n";
    }
    return ExitOk;
}

void readLogLines(std::istream& input, CallTimeline& story)
{
    for (std::string line; std::getline(input, line);)
        story.take(line);
}

/// Prints the history of one call from log lines.
int why(const Arguments& arguments, bool asJson)
{
    CallTimeline story(arguments.words.at(1));
    for (std::size_t i = 2; i < arguments.words.size(); ++i) {
        std::ifstream file(arguments.words[i]);
        if (!file) {
            std::cerr << "crocusmount: " << arguments.words[i] << ": cannot be read\n";
            return ExitFailed;
        }
        readLogLines(file, story);
    }
    if (arguments.words.size() == 2)
        readLogLines(std::cin, story);
    if (story.unreadable())
        std::cerr << "crocusmount: " << story.unreadable() << " lines are not valid log lines\n";
    if (!story.isKnown()) {
        std::cerr << "crocusmount: no line names call " << arguments.words.at(1) << "\n";
        return ExitFailed;
    }
    if (!asJson) {
        std::cout << story.text();
        return ExitOk;
    }
    for (const json::object& line : story.lines())
        std::cout << json::serialize(line) << "\n";
    return ExitOk;
}

/// Runs the command that the first word names.
/// @return the exit code
int runCommand(const Client& client, const Arguments& arguments)
{
    const std::string command = arguments.words.empty() ? "" : arguments.words.front();
    const std::size_t words = arguments.words.size();
    if (command == "apply" && words == 2)
        return apply(client, arguments);
    if (command == "get" && words <= 2)
        return get(client, arguments);
    if (command == "label" && words >= 3)
        return setLabels(client, arguments, "labels");
    if (command == "select" && words >= 3)
        return setLabels(client, arguments, "selector");
    if (command == "status" && words == 1)
        return status(client, arguments);
    if (command == "explain" && words == 2)
        return explain(client, arguments);
    if (command == "drain" && words == 1)
        return succeeded(client.call(http::verb::post, "/admin/v1/drain")) ? ExitOk : ExitFailed;
    if (command == "settle" && arguments.has("nonce") && arguments.has("base"))
        return settle(client, arguments);
    if (command == "quarantine" && words == 1)
        return quarantine(client);
    if (command == "quarantine" && words == 3 && arguments.words.at(1) == "lift")
        return succeeded(client.call(http::verb::delete_, "/quarantine/" + arguments.words.at(2))) ? ExitOk
                                                                                                   : ExitFailed;
    if (command == "entries" && words == 1)
        return entries(client);
    if (command == "send" && words == 3)
        return send(client, arguments);
    std::cerr << "crocusmount: unknown command or wrong number of arguments; see --help\n";
    return ExitUsage;
}

/// @return the value of an environment variable, or an empty text if it is not set
std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

} // namespace

int main(int argc, char** argv)
{
    const Arguments arguments = readArguments(argc, argv, Usage,
        { { "entry", "IP:PORT", "address of an instance (default: CROCUSMOUNT_ENTRY)" },
            { "token", "TOKEN", "token of an operator or a workspace (default: CROCUSMOUNT_TOKEN)" },
            { "output", "json|table", "output format (default: table)" },
            { "base", "REVISION", "revision that the write is based on" },
            { "dry-run", "", "apply: check the objects without writing them" },
            { "nonce", "NONCE", "settle: nonce of the write" }, { "watch", "", "status: repeat every second" },
            { "wait", "REVISION", "status: wait until live instances have applied it" },
            { "timeout", "SECONDS", "status --wait: longest wait (default: 30)" },
            { "max-tokens", "N", "send: maximum number of tokens in the answer (default: 16)" },
            { "key", "KEY", "send: idempotency key" }, { "once", "", "send: run at most once (needs --key)" } });
    Client client;
    client.entry = arguments.get("entry", environment("CROCUSMOUNT_ENTRY"));
    client.token = arguments.get("token", environment("CROCUSMOUNT_TOKEN"));
    const std::string output = arguments.get("output", "table");
    client.isJsonOutput = output == "json";
    const bool isWhyCommand = arguments.words.size() >= 2 && arguments.words.front() == "why";
    if (isWhyCommand && (output == "json" || output == "table"))
        return why(arguments, client.isJsonOutput);
    if (client.entry.empty() || (output != "json" && output != "table")) {
        std::cerr << "crocusmount: expected --entry IP:PORT and --output json or table; see --help\n";
        return ExitUsage;
    }
    return runCommand(client, arguments);
}
