// Loaded into a process with LD_PRELOAD, redirects its connections to one port of the loopback
// address to another one, so that a test can put a proxy in front of a server whose address must
// stay the same in the settings. MIMOSABEND_REDIRECT_CONNECT is "FROM:TO".
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto original = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  const char* redirection = std::getenv("MIMOSABEND_REDIRECT_CONNECT");
  unsigned from = 0;
  unsigned to = 0;
  const bool valid = redirection != nullptr && std::sscanf(redirection, "%u:%u", &from, &to) == 2;
  if (!valid || address->sa_family != AF_INET || length < sizeof(sockaddr_in)) {
    return original(socket, address, length);
  }
  sockaddr_in target{};
  std::memcpy(&target, address, sizeof(target));
  if (ntohs(target.sin_port) == from) target.sin_port = htons(static_cast<in_port_t>(to));
  return original(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}
