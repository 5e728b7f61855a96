#ifndef MIMOSABEND_OPERATOR_COMMANDS_H_
#define MIMOSABEND_OPERATOR_COMMANDS_H_

namespace mimosabend {

// Exit codes of all subcommands.
enum class ExitCode : int {
  kOk = 0,
  // The process failed, a stored document is corrupt, or a promoted document is not in force on all
  // daemons in time.
  kFailed = 1,
  // The command line, the settings or the document is invalid.
  kUsage = 2,
  // Another operator changed the environment first.
  kConflict = 3,
  // A service is unreachable, or it is unknown whether the change took effect.
  kUnavailable = 4
};

// Runs the subcommand named on the command line. Returns the exit code of the process.
int RunCommandLine(int argc, char** argv);

}  // namespace mimosabend

#endif  // MIMOSABEND_OPERATOR_COMMANDS_H_
