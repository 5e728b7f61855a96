#include "operator_commands.h"

#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "bench.h"
#include "daemon.h"
#include "document_store.h"
#include "environment.h"
#include "environment_diff.h"
#include "event_loop.h"
#include "gateway.h"
#include "http_kv_store.h"
#include "json.h"
#include "request_record.h"
#include "settings.h"
#include "startup.h"
#include "status_report.h"
#include "supervisor.h"

DEFINE_string(config, "", "settings file of the process");
DEFINE_string(environment, "", "name of the environment");
DEFINE_string(author, "", "author of the change in the audit trail; default: $USER");
DEFINE_string(digest, "", "promote only if the document on trial has this SHA-256");
DEFINE_bool(json, false, "print JSON");
DEFINE_uint32(rounds, 20, "number of times that bench runs its inputs");
DEFINE_bool(signature, false, "print only the decision signatures of bench");
DEFINE_int32(wait_s, 30,
             "seconds that promote waits until the document is in force on all daemons");

namespace mimosabend {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds kStatusTimeout{1000};
constexpr milliseconds kStatusPollPeriod{200};
constexpr std::string_view kSetFlag = "--set";
constexpr std::string_view kDaemonCommand = "daemon";
constexpr std::string_view kGatewayCommand = "gateway";

constexpr char kUsage[] =
    R"(usage: mimosabend COMMAND [FLAGS]

  daemon  --config=FILE [--set section.key=value ...]   serve client requests
  gateway --config=FILE [--set section.key=value ...]   relay requests on the users' platform
  check   FILE                                          check an environment document
  trial   FILE --config=FILE --environment=NAME         store a document as the trial document
  promote --config=FILE --environment=NAME [--digest=SHA256] [--wait_s=30]
                                                        put the trial document in force
  status  --config=FILE --environment=NAME [--json]     document, replicas and requests per daemon
  history --config=FILE --environment=NAME [--json]     audit trail of promotions
  bench   [--rounds=20] [--signature]                   speed and signatures of the decisions

Further flags: --author=NAME for trial and promote.
Exit codes: 0 success, 1 failure, 2 invalid usage, settings or document, 3 conflict with a change
by another operator, 4 platform service unreachable or outcome unknown.
)";

// The command line without the flags that gflags parses.
struct CommandLine {
  std::string command;
  std::vector<std::string> arguments;
  std::vector<std::string> overrides;
};

int ToInt(ExitCode code) { return static_cast<int>(code); }

ExitCode Fail(ExitCode code, const std::string& message) {
  std::cerr << "mimosabend: " << message << "\n";
  return code;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

ExitCode ReportIssues(const IniIssues& issues) {
  for (const IniIssue& issue : issues) std::cerr << issue.Format() << "\n";
  return ExitCode::kUsage;
}

std::string Author() {
  if (!FLAGS_author.empty()) return FLAGS_author;
  const char* user = std::getenv("USER");
  return user != nullptr ? user : "unknown";
}

ExitCode FailWithStoreError(StoreError error) {
  const std::string text(kStoreErrorNames[error]);
  switch (error) {
    case StoreError::kConflict:
      return Fail(
          ExitCode::kConflict,
          "another operator changed this environment at the same time; this command changed "
          "nothing. Check 'mimosabend history', then try again");
    case StoreError::kNotOnTrial:
      return Fail(ExitCode::kConflict,
                  "the trial document is a different one; run 'mimosabend trial' again");
    case StoreError::kUnavailable:
      return Fail(ExitCode::kUnavailable, text + ": nothing was changed; try again later");
    case StoreError::kOutcomeUnknown:
      return Fail(ExitCode::kUnavailable,
                  text + ": check 'mimosabend history' before trying again");
    case StoreError::kCorrupt:
      return Fail(ExitCode::kFailed,
                  "the stored document is corrupt; run 'mimosabend trial' again");
  }
  return ExitCode::kFailed;
}

// Clients of the platform's services for one command.
struct Session {
  explicit Session(const OperatorSettings& operator_settings)
      : settings(operator_settings),
        client(io.get_executor()),
        kv(&client, settings.platform.kv),
        store(&kv, FLAGS_environment) {}

  asio::io_context io{1};
  OperatorSettings settings;
  HttpClient client;
  HttpKvStore kv;
  DocumentStore<HttpKvStore> store;
};

// Runs the coroutine of one command to completion.
ExitCode RunInSession(const CommandLine& line,
                      Task<ExitCode> (*command)(Session*, const CommandLine&)) {
  if (FLAGS_environment.empty()) return Fail(ExitCode::kUsage, "--environment is required");
  const auto text = ReadFile(FLAGS_config);
  if (!text) return Fail(ExitCode::kUsage, "cannot read --config file '" + FLAGS_config + "'");
  auto settings = ParseOperatorSettings(FLAGS_config, *text, line.overrides);
  if (!settings) return ReportIssues(settings.error());
  Session session(settings.value());
  ExitCode code = ExitCode::kFailed;
  asio::co_spawn(session.io, command(&session, line),
                 [&code](std::exception_ptr error, ExitCode result) {
                   if (error == nullptr) code = result;
                 });
  const bool stopped = RunEventLoop(&session.io);
  return stopped ? code : ExitCode::kFailed;
}

ExitCode RunCheck(const CommandLine& line) {
  if (line.arguments.size() != 1) return Fail(ExitCode::kUsage, "usage: mimosabend check FILE");
  const std::string& path = line.arguments.front();
  const auto text = ReadFile(path);
  if (!text) return Fail(ExitCode::kUsage, "cannot read '" + path + "'");
  auto environment = ParseEnvironment(path, *text);
  if (!environment) return ReportIssues(environment.error());
  std::cout << path << ": valid; " << environment.value().models.size() << " models and adapters, "
            << environment.value().callers.size() << " callers, "
            << environment.value().services.size() << " services, SHA-256 " << Sha256Hex(*text)
            << "\n";
  return ExitCode::kOk;
}

// The document in force and its version; version 0 and an empty environment if there is none.
struct DocumentInForce {
  std::uint64_t version = 0;
  Environment environment;
};

Task<Result<DocumentInForce, StoreError>> ReadDocumentInForce(Session* session) {
  auto stored = co_await session->store.ReadHead();
  if (!stored) co_return outcome::failure(stored.error());
  DocumentInForce in_force;
  in_force.version = stored.value().head.version;
  if (in_force.version == 0) co_return in_force;
  auto document = co_await session->store.ReadDocument(stored.value().head);
  if (!document) co_return outcome::failure(document.error());
  auto environment = ParseEnvironment("document in force", document.value());
  if (!environment) co_return outcome::failure(StoreError::kCorrupt);
  in_force.environment = std::move(environment).value();
  co_return in_force;
}

// Prints what a document would change. Returns the reason why it is not allowed, or an empty
// string.
std::string PrintChanges(const DocumentInForce& in_force, const Environment& environment,
                         std::string* summary) {
  const auto lines = DiffEnvironments(in_force.environment, environment);
  *summary = SummarizeDiff(lines);
  std::cout << "changes from version " << in_force.version << ":\n"
            << (lines.empty() ? "none" : *summary) << "\n";
  const std::string forbidden = FindForbiddenChange(in_force.environment, environment);
  return forbidden.empty() ? RecordLayoutConflict(in_force.environment, environment) : forbidden;
}

Task<ExitCode> Trial(Session* session, const CommandLine& line) {
  if (line.arguments.size() != 1) co_return Fail(ExitCode::kUsage, "expected one document file");
  const std::string& path = line.arguments.front();
  const auto text = ReadFile(path);
  if (!text) co_return Fail(ExitCode::kUsage, "cannot read '" + path + "'");
  auto environment = ParseEnvironment(path, *text);
  if (!environment) co_return ReportIssues(environment.error());
  if (environment.value().name != FLAGS_environment) {
    co_return Fail(ExitCode::kUsage, "the document is for environment '" +
                                         environment.value().name + "', not '" + FLAGS_environment +
                                         "'");
  }
  auto in_force = co_await ReadDocumentInForce(session);
  if (!in_force) co_return FailWithStoreError(in_force.error());
  std::string summary;
  const std::string forbidden = PrintChanges(in_force.value(), environment.value(), &summary);
  if (!forbidden.empty()) co_return Fail(ExitCode::kUsage, forbidden);
  auto head = co_await session->store.StartTrial(*text, Author(), WallNow());
  if (!head) co_return FailWithStoreError(head.error());
  std::cout << "trial document: " << head.value().digest << "\n"
            << "to promote it: mimosabend promote --environment=" << FLAGS_environment
            << " --digest=" << head.value().digest << "\n";
  co_return ExitCode::kOk;
}

// Queries /status of a daemon. Returns std::nullopt unless it answers with status 200.
Task<std::optional<json::value>> ReadStatus(Session* session, Address daemon) {
  HttpCall call;
  call.address = daemon;
  call.target = "/status";
  call.deadline = MonotonicNow() + kStatusTimeout;
  auto reply = co_await session->client.Call(std::move(call));
  if (!reply || reply.value().status != 200) co_return std::nullopt;
  co_return ParseJson(reply.value().body);
}

// Waits until all daemons in the settings have `version` or a later one in force.
Task<ExitCode> WaitUntilInForce(Session* session, std::uint64_t version) {
  const std::vector<Address>& daemons = session->settings.daemons;
  const MonotonicTime deadline = MonotonicNow() + seconds(FLAGS_wait_s);
  std::size_t last_printed = daemons.size() + 1;
  for (;;) {
    std::size_t adopted = 0;
    for (const Address& daemon : daemons) {
      const auto status = co_await ReadStatus(session, daemon);
      const auto version_in_force = status ? IntegerMember(*status, "version") : std::nullopt;
      if (version_in_force && static_cast<std::uint64_t>(*version_in_force) >= version) ++adopted;
    }
    if (adopted != last_printed) {
      std::cout << "in force on " << adopted << " of " << daemons.size() << " daemons\n";
      last_printed = adopted;
    }
    if (adopted == daemons.size()) co_return ExitCode::kOk;
    if (MonotonicNow() >= deadline) {
      co_return Fail(ExitCode::kFailed, "accepted, but not yet in force on all daemons after " +
                                            std::to_string(FLAGS_wait_s) + " s");
    }
    co_await Sleep(kStatusPollPeriod);
  }
}

Task<ExitCode> Promote(Session* session, const CommandLine& line) {
  if (!line.arguments.empty()) co_return Fail(ExitCode::kUsage, "promote takes no arguments");
  auto trial = co_await session->store.ReadTrial();
  if (!trial) co_return FailWithStoreError(trial.error());
  if (trial.value().head.version == 0) {
    co_return Fail(ExitCode::kUsage, "there is no trial document; run 'mimosabend trial' first");
  }
  Promotion promotion;
  promotion.digest = FLAGS_digest.empty() ? trial.value().head.digest : FLAGS_digest;
  if (promotion.digest != trial.value().head.digest)
    co_return FailWithStoreError(StoreError::kNotOnTrial);
  auto document = co_await session->store.ReadDocument(trial.value().head);
  if (!document) co_return FailWithStoreError(document.error());
  auto environment = ParseEnvironment("trial document", document.value());
  if (!environment) co_return ReportIssues(environment.error());
  auto in_force = co_await ReadDocumentInForce(session);
  if (!in_force) co_return FailWithStoreError(in_force.error());
  const std::string forbidden =
      PrintChanges(in_force.value(), environment.value(), &promotion.summary);
  if (!forbidden.empty()) co_return Fail(ExitCode::kUsage, forbidden);
  promotion.expected_version = in_force.value().version;
  promotion.author = Author();
  auto head = co_await session->store.Promote(promotion, WallNow());
  if (!head) co_return FailWithStoreError(head.error());
  std::cout << "accepted: version " << head.value().version << ", " << head.value().digest << "\n";
  co_return co_await WaitUntilInForce(session, head.value().version);
}

Task<ExitCode> Status(Session* session, const CommandLine&) {
  auto stored = co_await session->store.ReadHead();
  auto in_force = co_await ReadDocumentInForce(session);
  std::vector<DaemonStatus> daemons;
  for (const Address& address : session->settings.daemons) {
    DaemonStatus daemon;
    daemon.address = ToString(address);
    daemon.status = co_await ReadStatus(session, address);
    daemons.push_back(std::move(daemon));
  }
  const ExitCode code = stored && in_force ? ExitCode::kOk : ExitCode::kUnavailable;
  std::optional<DocumentHead> head;
  if (stored) head = stored.value().head;
  if (!FLAGS_json) {
    const Environment environment = in_force ? in_force.value().environment : Environment{};
    std::cout << FormatStatus(head, environment, daemons);
    co_return code;
  }
  json::array list;
  for (DaemonStatus& daemon : daemons) {
    json::object item;
    item["address"] = daemon.address;
    item["status"] = daemon.status ? std::move(*daemon.status) : json::value();
    list.push_back(std::move(item));
  }
  json::object out;
  out["version"] = head ? json::value(head->version) : json::value();
  out["digest"] = head ? json::value(head->digest) : json::value();
  out["daemons"] = std::move(list);
  std::cout << json::serialize(out) << "\n";
  co_return code;
}

Task<ExitCode> History(Session* session, const CommandLine&) {
  auto heads = co_await session->store.History();
  if (!heads) co_return FailWithStoreError(heads.error());
  json::array list;
  for (const DocumentHead& head : heads.value()) {
    if (!FLAGS_json) {
      std::cout << "version " << head.version << "  " << FormatTime(head.time_ms) << "  "
                << head.author << "  " << head.digest.substr(0, 12)
                << (head.previous_digest.empty() ? "" : "  replaces ")
                << head.previous_digest.substr(0, 12) << "\n";
      std::istringstream changes(head.summary);
      for (std::string change; std::getline(changes, change);) {
        std::cout << "    " << change << "\n";
      }
      continue;
    }
    json::object item;
    item["version"] = head.version;
    item["time"] = FormatTime(head.time_ms);
    item["author"] = head.author;
    item["digest"] = head.digest;
    item["previous_digest"] = head.previous_digest;
    item["summary"] = head.summary;
    list.push_back(std::move(item));
  }
  if (FLAGS_json) std::cout << json::serialize(list) << "\n";
  co_return ExitCode::kOk;
}

ExitCode RunDaemonCommand(const CommandLine& line) {
  const auto text = ReadFile(FLAGS_config);
  if (!text) return Fail(ExitCode::kUsage, "cannot read --config file '" + FLAGS_config + "'");
  auto settings = ParseDaemonSettings(FLAGS_config, *text, line.overrides);
  if (!settings) return ReportIssues(settings.error());
  return static_cast<ExitCode>(RunDaemon(settings.value()));
}

std::optional<GatewaySettings> ReadGatewaySettings(const std::vector<std::string>& overrides) {
  const auto text = ReadFile(FLAGS_config);
  if (!text) {
    Fail(ExitCode::kUsage, "cannot read --config file '" + FLAGS_config + "'");
    return std::nullopt;
  }
  auto settings = ParseGatewaySettings(FLAGS_config, *text, overrides);
  if (settings) return std::move(settings).value();
  ReportIssues(settings.error());
  return std::nullopt;
}

ExitCode RunGatewayCommand(const CommandLine& line) {
  const std::vector<std::string> overrides = line.overrides;
  const auto settings =
      RetryAtStart(kSettingsRetryTime, [&] { return ReadGatewaySettings(overrides); });
  if (!settings) return ExitCode::kUsage;
  return static_cast<ExitCode>(
      RunGateway(*settings, [overrides] { return ReadGatewaySettings(overrides); }));
}

ExitCode RunBenchCommand(const CommandLine& line) {
  if (!line.arguments.empty() || FLAGS_rounds == 0) {
    return Fail(ExitCode::kUsage, "usage: mimosabend bench [--rounds=N] [--signature]");
  }
  const BenchReport report = RunBench(FLAGS_rounds);
  if (!FLAGS_signature) std::cout << FormatBench(report);
  std::cout << FormatSignatures(report);
  return ExitCode::kOk;
}

ExitCode Dispatch(const CommandLine& line) {
  if (line.command == kDaemonCommand) return RunDaemonCommand(line);
  if (line.command == kGatewayCommand) return RunGatewayCommand(line);
  if (line.command == "check") return RunCheck(line);
  if (line.command == "trial") return RunInSession(line, Trial);
  if (line.command == "promote") return RunInSession(line, Promote);
  if (line.command == "status") return RunInSession(line, Status);
  if (line.command == "history") return RunInSession(line, History);
  if (line.command == "bench") return RunBenchCommand(line);
  std::cerr << kUsage;
  return ExitCode::kUsage;
}

// Whether the arguments start a server process.
bool StartsServer(const std::vector<char*>& args) {
  return std::any_of(args.begin(), args.end(), [](std::string_view arg) {
    return arg == kDaemonCommand || arg == kGatewayCommand;
  });
}

// Extracts what gflags does not handle: repeated --set flags and --help. Leaves the other arguments
// in `argv`. Returns std::nullopt if help was requested.
std::optional<CommandLine> SplitCommandLine(std::vector<char*>* argv) {
  CommandLine line;
  std::vector<char*> rest{argv->front()};
  for (std::size_t i = 1; i < argv->size(); ++i) {
    const std::string_view arg = (*argv)[i];
    if (arg == "--help" || arg == "-h") return std::nullopt;
    if (arg == kSetFlag && i + 1 < argv->size()) {
      line.overrides.emplace_back((*argv)[++i]);
    } else if (arg.starts_with("--set=")) {
      line.overrides.emplace_back(arg.substr(6));
    } else {
      rest.push_back((*argv)[i]);
    }
  }
  *argv = std::move(rest);
  return line;
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  std::vector<char*> args(argv, argv + argc);
  if (StartsServer(args)) IgnoreFatalSignals();
  std::optional<CommandLine> line = SplitCommandLine(&args);
  if (!line) {
    std::cout << kUsage;
    return ToInt(ExitCode::kOk);
  }
  int count = static_cast<int>(args.size());
  args.push_back(nullptr);
  char** data = args.data();
  gflags::ParseCommandLineFlags(&count, &data, true);
  for (int i = 1; i < count; ++i) {
    if (line->command.empty()) {
      line->command = data[i];
    } else {
      line->arguments.emplace_back(data[i]);
    }
  }
  return ToInt(Dispatch(*line));
}

}  // namespace mimosabend
