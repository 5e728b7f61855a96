// Loaded into a process with LD_PRELOAD, redirects its connections to ports of the loopback address
// to other ones, so that a test can put a proxy in front of a server whose address must stay the
// same in the settings. MIMOSABEND_REDIRECT_CONNECT is "FROM:TO,FROM:TO". If the file that
// MIMOSABEND_REDIRECT_ALL names holds a port, new connections to the ports FROM go to that one.
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>

namespace {

std::map<unsigned, unsigned> ReadRedirections() {
  std::map<unsigned, unsigned> redirections;
  const char* text = std::getenv("MIMOSABEND_REDIRECT_CONNECT");
  unsigned from = 0;
  unsigned to = 0;
  int length = 0;
  while (text != nullptr && std::sscanf(text, "%u:%u%n", &from, &to, &length) == 2) {
    redirections[from] = to;
    text += length;
    if (*text != ',') break;
    ++text;
  }
  return redirections;
}

// The port for all redirected connections; 0 for none.
unsigned CommonTarget() {
  const char* name = std::getenv("MIMOSABEND_REDIRECT_ALL");
  std::FILE* file = name == nullptr ? nullptr : std::fopen(name, "r");
  if (file == nullptr) return 0;
  unsigned port = 0;
  if (std::fscanf(file, "%u", &port) != 1) port = 0;
  std::fclose(file);
  return port;
}

}  // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto original = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  static const std::map<unsigned, unsigned> redirections = ReadRedirections();
  if (address->sa_family != AF_INET || length < sizeof(sockaddr_in)) {
    return original(socket, address, length);
  }
  sockaddr_in target{};
  std::memcpy(&target, address, sizeof(target));
  const auto found = redirections.find(ntohs(target.sin_port));
  if (found == redirections.end()) return original(socket, address, length);
  const unsigned common = CommonTarget();
  target.sin_port = htons(static_cast<in_port_t>(common == 0 ? found->second : common));
  return original(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}
