#ifndef MIMOSABEND_OPERATOR_COMMANDS_H_
#define MIMOSABEND_OPERATOR_COMMANDS_H_

namespace mimosabend {

// Exit codes of all subcommands.
enum class ExitCode : int {
  kOk = 0,
  // The process or the service failed.
  kFailed = 1,
  // The command line, settings or document are wrong.
  kUsage = 2,
  // Another operator was faster.
  kConflict = 3,
  // The service can't be reached, or it is unknown whether the change took effect.
  kUnavailable = 4
};

// Runs the subcommand that the command line names. Returns the exit code of the process.
int RunCommandLine(int argc, char** argv);

}  // namespace mimosabend

#endif  // MIMOSABEND_OPERATOR_COMMANDS_H_
