// The one file that sees libjsonrpccpp, whose headers need C++14.
#include "net/json_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace siskinstage {

namespace {

constexpr const char *MethodName = "gossip";
constexpr const char *ParameterName = "m";

/// Keeps the text that the client would send.
class CapturingConnector : public jsonrpc::IClientConnector {
public:
  void SendRPCMessage(
      const std::string &Message,
      std::string & /*Result*/) throw(jsonrpc::JsonRpcException) override {
    this->Text = Message;
  }
  std::string Text;
};

/// Hands received texts to the server; gossip has no answers.
class PassiveConnector : public jsonrpc::AbstractServerConnector {
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string & /*Response*/,
                    void * /*Info*/) override {
    return true;
  }
};

/// Keeps the parameters of the notification that it was given.
class CapturingServer : public jsonrpc::AbstractServer<CapturingServer> {
public:
  explicit CapturingServer(jsonrpc::AbstractServerConnector &Connector)
      : jsonrpc::AbstractServer<CapturingServer>(Connector) {
    this->bindAndAddNotification(
        jsonrpc::Procedure(MethodName, jsonrpc::PARAMS_BY_NAME, ParameterName,
                           jsonrpc::JSON_OBJECT, NULL),
        &CapturingServer::take);
  }
  void take(const Json::Value &Given) {
    this->Params = Given[ParameterName];
    this->Taken = true;
  }
  Json::Value Params;
  bool Taken = false;
};

/// Both ends of the library for one thread.
struct Ends {
  Ends() : Sender(Capture), Receiver(Passive) {}
  CapturingConnector Capture;
  jsonrpc::Client Sender;
  PassiveConnector Passive;
  CapturingServer Receiver;
};

Ends &ends() {
  thread_local Ends Mine;
  return Mine;
}

} // namespace

std::string gossipNotification(const Json::Value &Params) {
  Json::Value Wrapped(Json::objectValue);
  Wrapped[ParameterName] = Params;
  ends().Sender.CallNotification(MethodName, Wrapped);
  std::string Text = ends().Capture.Text;
  while (!Text.empty() && (Text.back() == '\n' || Text.back() == ' '))
    Text.pop_back();
  return Text;
}

bool readGossipNotification(const std::string &Text, Json::Value &Params) {
  CapturingServer &Receiver = ends().Receiver;
  Receiver.Taken = false;
  try {
    ends().Passive.OnRequest(Text);
  } catch (const std::exception &) {
    return false;
  }
  Params = Receiver.Params;
  return Receiver.Taken;
}

} // namespace siskinstage
