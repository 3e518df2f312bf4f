"""Configuration: the document, its versions, and the routes on the users' platform."""
