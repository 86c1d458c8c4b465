// Clients write long requests slowly. Without the disruption the same clients send the same
// requests at the same rate, each written at once.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../../standins-2/stage.hpp"

using namespace stage;

namespace {

constexpr int kServers = 8;
constexpr int kMemoryMb = 32;
constexpr int kSockets = 1024;
constexpr int kUploaders = 100;     // clients may hold a third of the descriptors, 341 connections
constexpr int kLookups = 10;        // a second
constexpr std::size_t kPieces = 6;  // of an upload
constexpr std::size_t kPiece = 64'000;   // bytes
constexpr double kPieceInterval = 1;     // s
constexpr double kUploadInterval = 6.5;  // s; from one upload of a client to its next
constexpr std::size_t kAnswer = 60'000;  // bytes
constexpr double kLength = 40;           // s

struct Counts {
  std::mutex mutex;
  std::map<int, int> uploads;  // by status; 0: no answer
  std::map<int, int> lookups;
};

void serve(Record& record, Connection& connection) {
  Message request;
  while (connection.read_message(request, now() + 30)) {
    record.line("a server runs %s, body of %zu bytes", request.header("x-trace-id").c_str(),
                request.body.size());
    sleep_for(0.1);
    if (!connection.write(response(200, std::string(kAnswer, 'a')), now() + 5)) {
      return;
    }
  }
}

void upload(Record& record, const Gateway& gateway, int client_number,
            const std::atomic<bool>& ended, Counts& counts) {
  const std::string piece = "fa00\r\n" + std::string(kPiece, 'b') + "\r\n";
  sleep_for(kUploadInterval * client_number / kUploaders);
  while (!ended) {
    const double begin = now();
    Connection client = Connection::to(gateway.port());
    const RequestHead head = request_head("POST", "allocate", 1 + client_number, 2000);
    record.line("client %d begins upload %s", client_number, head.trace_id.c_str());
    bool written = client.is_open() &&
                   client.write(head.text + "Transfer-Encoding: chunked\r\n\r\n", now() + 2);
    for (std::size_t sent = 0; written && sent < kPieces && !ended; ++sent) {
      written = client.write(piece, now() + 2);
      if (trouble()) {
        sleep_for(kPieceInterval);
      }
    }
    written = written && !ended && client.write("0\r\n\r\n", now() + 2);
    Message answer;
    const bool answered = written && !ended && client.read_message(answer, now() + 2.5);
    if (!ended) {
      record.line("client %d: upload %s %s %d", client_number, head.trace_id.c_str(),
                  answered ? "answered" : "not answered,", answer.status());
      const std::lock_guard lock(counts.mutex);
      ++counts.uploads[answered ? answer.status() : 0];
    }
    while (!ended && now() < begin + kUploadInterval) {
      sleep_for(0.02);
    }
  }
}

int run(Record& record) {
  std::vector<std::unique_ptr<Acceptor>> servers;
  std::vector<std::string> entries;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Acceptor>(
        [&record](Connection& connection) { serve(record, connection); }));
    entries.push_back(Discovery::entry("s" + std::to_string(i), servers.back()->port()));
  }
  const Discovery discovery(entries);
  const Counter counter;
  Settings settings;
  settings.memory_mb = kMemoryMb;
  settings.sockets = kSockets;
  settings.classes =
      R"({"DedupScope":"all","GiveUpUs":5000000,"Importance":3.0,"LateValue":0.0,"Name":"stock-lookup","ObjectiveUs":2000000,"Repeat":"safe","Stream":false,"WindowUs":5000000},)"
      R"({"DedupScope":"all","GiveUpUs":2000000,"Importance":9.0,"LateValue":0.0,"Name":"allocate","ObjectiveUs":750000,"Repeat":"unsafe","Stream":false,"WindowUs":5000000})";
  Gateway gateway(settings, discovery, counter);
  if (!gateway.wait_until_ready(now() + 30)) {
    cannot_run("the gateway is not ready");
  }
  record.line("ready: RssAnon %ld KiB, VmRSS %ld KiB, limit %d KiB", gateway.status_kib("RssAnon"),
              gateway.status_kib("VmRSS"), kMemoryMb * 1024);

  Counts counts;
  std::atomic<bool> ended{false};
  std::vector<std::thread> clients;
  for (int i = 0; i < kUploaders; ++i) {
    clients.emplace_back([&, i] { upload(record, gateway, i, ended, counts); });
  }
  clients.emplace_back([&] {
    for (int i = 0; !ended; ++i) {
      Connection client = Connection::to(gateway.port());
      Message answer;
      const RequestHead head = request_head("GET", "stock-lookup", 100 + i % 20, 4000);
      const bool answered = client.is_open() && client.write(head.text + "\r\n", now() + 1) &&
                            client.read_message(answer, now() + 4.5);
      {
        record.line("lookup %s %s %d", head.trace_id.c_str(),
                    answered ? "answered" : "not answered,", answer.status());
        const std::lock_guard lock(counts.mutex);
        ++counts.lookups[answered ? answer.status() : 0];
      }
      sleep_for(1.0 / kLookups);
    }
  });

  // Only the memory of the process itself counts here: no libraries, no buffers of the system.
  long highest = 0;
  bool killed = false;
  const double begin = now();
  double next_note = begin;
  while (now() < begin + kLength && !killed) {
    const long anonymous = gateway.status_kib("RssAnon");
    highest = std::max(highest, anonymous);
    killed = anonymous > kMemoryMb * 1024;
    if (killed || now() >= next_note) {
      record.line("RssAnon %ld KiB, VmRSS %ld KiB", anonymous, gateway.status_kib("VmRSS"));
      next_note += 2;
    }
    sleep_for(0.02);
  }
  const bool runs = gateway.runs();
  if (killed) {
    gateway.signal(SIGKILL);
    record.line("over memory_mb: the platform kills the gateway");
    sleep_for(3);
  }
  ended = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto& [status, number] : counts.uploads) {
    record.line("uploads answered %d: %d", status, number);
  }
  for (const auto& [status, number] : counts.lookups) {
    record.line("lookups answered %d: %d", status, number);
  }
  record.line("highest RssAnon %ld of %d KiB", highest, kMemoryMb * 1024);
  return killed || !runs ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, run);
}
