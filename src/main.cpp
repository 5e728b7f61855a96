#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

#include "operator_commands.h"

int main(int argc, char** argv) { return mimosabend::RunCommandLine(argc, argv); }
