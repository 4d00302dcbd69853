package weldhitch.node;

record ServerAnswer(String contentType, long length, Body body) {
}
