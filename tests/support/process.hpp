// The program itself as a process, and a configuration for it.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {

class Process {
 public:
  // `folder`: what it shares with another process of its gateway.
  explicit Process(const std::string& config, const std::string& folder = "") {
    char name[] = "/tmp/quota-gateway-test-XXXXXX";
    ::close(::mkstemp(name));
    path_ = name;
    configure(config);
    int ends[2];
    EXPECT_EQ(::pipe(ends), 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(ends[1], STDERR_FILENO);
      ::close(ends[0]);
      ::close(ends[1]);
      ::setenv("RELAY_CONFIG", name, 1);
      ::setenv("TMPDIR", folder.c_str(), 1);
      ::execl(QUOTA_GATEWAY_PROGRAM, QUOTA_GATEWAY_PROGRAM, nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    errors_ = ends[0];
  }
  ~Process() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    ::close(errors_);
    ::unlink(path_.c_str());
  }
  // Reads its log up to a line that holds `text`, or to its end.
  std::string log_until(const std::string& text) {
    std::string log;
    char byte;
    while (::read(errors_, &byte, 1) == 1) {
      log += byte;
      if (byte == '\n' && log.find(text) != std::string::npos) {
        break;
      }
    }
    return log;
  }
  void configure(const std::string& config) { std::ofstream(path_, std::ios::trunc) << config; }
  void hang_up() { ::kill(pid_, SIGHUP); }
  void terminate() { ::kill(pid_, SIGTERM); }
  std::string id() const { return std::to_string(pid_); }
  void kill(int signal) { ::kill(pid_, signal); }
  int exit_code() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  std::string path_;
  pid_t pid_ = 0;
  int errors_ = -1;
};

// Below those that the kernel hands out: one of these could be anybody's before the process binds
// it.
inline std::uint16_t free_port(asio::io_context& io) {
  static std::uint16_t next = std::uint16_t(12'000 + ::getpid() % 1'000 * 16);
  while (true) {
    tcp::acceptor at(io, tcp::v4());
    at.set_option(tcp::acceptor::reuse_address(true));
    error_code taken;
    at.bind({asio::ip::address_v4::loopback(), ++next}, taken);
    if (!taken) {
      return next;
    }
  }
}

inline std::string config(std::uint16_t port, const Listener& server, const Listener& discovery,
                          const std::string& more = "", const std::string& members = "") {
  return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":")" +
         discovery.text() +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
    )" + more +
         R"("known":)" + list(41, true, members.empty() ? entry("s1", server.text()) : members) +
         R"(,
    "settings":{"Az":"a","ReplicasOfMe":3,"Position":0,"Classes":[{"Name":"profile-read","Repeat":"safe",
      "ObjectiveUs":3000000,"GiveUpUs":4000000,"Importance":1.0}],
      "TiersOfService":[{"Name":"plan-group","QuotaRate":900,"Depth":900}],"Limits":{"MaxAttempts":4}}})";
}

}  // namespace quota_gateway::net::testing
