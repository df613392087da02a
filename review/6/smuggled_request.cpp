// A client sends a header whose value is an encoded word. Do servers run only
// requests that clients sent?
#include "../common-2/standins.h"

using namespace review;

namespace {

constexpr const char *SmuggledId = "5badc0de5badc0de";
constexpr const char *SmuggledPath = "/orders/smuggled";

std::atomic<int> Smuggled{0};

/// \p Text as an encoded word (RFC 2047): printable characters alone.
std::string encodedWord(const std::string &Text) {
  std::string Word = "=?utf-8?Q?";
  for (const unsigned char Byte : Text) {
    char Digits[4];
    std::snprintf(Digits, sizeof(Digits), "=%02X", Byte);
    Word += Digits;
  }
  return Word + "?=";
}

bool serve(Site &All, Server &Self, Conn &Peer, const Head &Request) {
  std::string Body;
  if (!Peer.body(Request, Body, now() + 5))
    return false;
  All.Log.line("%s runs %s, Attempt-Id %s", Self.Id.c_str(),
               Request.First.c_str(), Request.field("attempt-id").c_str());
  if (Request.field("attempt-id") == SmuggledId)
    ++Smuggled;
  sleepFor(0.05);
  return Self.answer(Peer, Request, "from " + Self.Id);
}

} // namespace

int main() {
  Site All;
  const auto Run = [&](Server &Self, Conn &Peer, const Head &Request) {
    return serve(All, Self, Peer, Request);
  };
  for (int I = 0; I < 4; ++I)
    All.addServer("pedidos", I % 2 == 0 ? "norte-a" : "norte-b", Run);
  All.configure(Site::route("r1", "/read/", "safe", "pedidos", "2.5", "2"),
                {"pedidos"});
  All.addNodes(1, {"norte-a", "norte-b"});
  All.begin();

  const std::string Text =
      std::string("a\r\n\r\nPOST ") + SmuggledPath +
      " HTTP/1.1\r\nHost: " + HostName + "\r\nAttempt-Id: " + SmuggledId +
      "\r\nDeadline-Remaining: 2000\r\nContent-Length: 0\r\nX-Rest: b";
  constexpr int Requests = 10;
  int Served = 0;
  for (int I = 0; I < Requests; ++I) {
    Request Sent;
    Sent.Path = "/read/" + std::to_string(I);
    Sent.AttemptId = All.attemptId();
    Sent.DeadlineMs = 2000;
    Sent.Fields = {"X-Note: " +
                   (All.Trouble ? encodedWord(Text) : std::string("a note"))};
    const Nodes::Node &Node = *All.entryFor(I % 2 == 0 ? "norte-a" : "norte-b");
    const auto Peer = Conn::open(Node.Ip, All.Fleet.Front, 1);
    const Answer Got = Peer ? exchange(*Peer, Sent) : Answer();
    Served += Got.Status == 200 ? 1 : 0;
    All.Log.line("client: GET %s, Attempt-Id %s, %s: status %d",
                 Sent.Path.c_str(), Sent.AttemptId.c_str(),
                 Sent.Fields.front().substr(0, 40).c_str(), Got.Status);
    sleepFor(0.2);
  }
  sleepFor(1);
  All.Log.line("requests sent %d, served %d; requests run that no client sent: "
               "%d",
               Requests, Served, Smuggled.load());
  if (Served == 0 && Smuggled == 0)
    All.end(2, "no request was served");
  if (Smuggled > 0)
    All.end(1, "UNASKED: servers ran " + std::to_string(Smuggled) +
                   " requests that were smuggled inside others");
  All.end(0, "the rule held");
}
